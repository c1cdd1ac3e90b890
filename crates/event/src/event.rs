//! Numbered log events.

/// One row of the event catalogue.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EventRow {
    /// Unique number of the event.
    pub number: u16,
    /// Name of the enum variant.
    pub name: &'static str,
    /// Severity at which the event is logged.
    pub level: log::Level,
    /// Message text of the event.
    pub message: &'static str,
}

/// Declares an enum of numbered log events.
///
/// Each variant gives its number, its `log::Level` and its message.
#[macro_export]
macro_rules! events {
    ($(#[$meta:meta])* pub enum $name:ident {
        $($variant:ident = $number:literal, $level:ident, $message:literal;)+
    }) => {
        $(#[$meta])*
        #[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
        pub enum $name {
            $(#[doc = $message] $variant,)+
        }

        impl $name {
            /// All events of this enum, in the order of their numbers.
            pub const ROWS: &'static [$crate::EventRow] = &[$($crate::EventRow {
                number: $number,
                name: stringify!($variant),
                level: $crate::log::Level::$level,
                message: $message,
            }),+];

            /// The catalogue row of this event.
            pub fn row(self) -> $crate::EventRow {
                Self::ROWS[self as usize]
            }
        }
    };
}

/// Logs a numbered event with key-value pairs, each formatted with `Display`.
///
/// The log target is the module path, or the one given as the first argument `target: TARGET`.
///
/// `emit!(DispatchEvent::InstanceEjected, instance = id, failures = count)`
#[macro_export]
macro_rules! emit {
    (target: $target:expr, $event:expr $(, $key:ident = $value:expr)* $(,)?) => {{
        let row = $event.row();
        $crate::log::log!(
            target: $target,
            row.level,
            event = row.number $(, $key:% = $value)*;
            "{}",
            row.message
        );
    }};
    ($event:expr $(, $key:ident = $value:expr)* $(,)?) => {{
        let row = $event.row();
        $crate::log::log!(
            row.level,
            event = row.number $(, $key:% = $value)*;
            "{}",
            row.message
        );
    }};
}
