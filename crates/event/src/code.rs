//! Numbered result codes.

/// One row of the table of result codes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CodeRow {
    /// Unique number of the code.
    pub number: u16,
    /// Name of the enum variant.
    pub name: &'static str,
    /// HTTP status of a response with this code.
    pub http_status: u16,
    /// What the code means.
    pub meaning: &'static str,
}

/// Declares an enum of numbered result codes.
///
/// Each variant gives its number, its HTTP status and its meaning.
#[macro_export]
macro_rules! codes {
    ($(#[$meta:meta])* pub enum $name:ident {
        $($variant:ident = $number:literal, $status:literal, $meaning:literal;)+
    }) => {
        $(#[$meta])*
        #[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
        pub enum $name {
            $(#[doc = $meaning] $variant,)+
        }

        impl $name {
            /// All codes of this enum, in the order of their numbers.
            pub const ROWS: &'static [$crate::CodeRow] = &[$($crate::CodeRow {
                number: $number,
                name: stringify!($variant),
                http_status: $status,
                meaning: $meaning,
            }),+];

            /// The table row of this code.
            pub fn row(self) -> $crate::CodeRow {
                Self::ROWS[self as usize]
            }
        }
    };
}
