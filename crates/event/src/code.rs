//! Numbered result codes.

/// One row of the table of result codes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CodeRow {
    /// Unique number of the code.
    pub number: u16,
    /// Name of the code as in the code base.
    pub name: &'static str,
    /// HTTP status with which the code is answered.
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
            /// Every code of this package, in order of number.
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
