//! Macro for the enums that name the states and events of a chart.

/// Declares an enum whose variants name the states or events of a chart.
///
/// The chart file refers to the variants in snake case.
#[macro_export]
macro_rules! chart_names {
    ($(#[$doc:meta])* $vis:vis enum $name:ident { $($(#[$variant_doc:meta])* $variant:ident,)+ }) => {
        $(#[$doc])*
        #[derive(
            Clone, Copy, Debug, PartialEq, Eq, Hash,
            $crate::strum::Display, $crate::strum::EnumString,
            $crate::strum::VariantArray, $crate::strum::VariantNames,
        )]
        #[strum(serialize_all = "snake_case", crate = "parsleylatch_chart::strum")]
        $vis enum $name { $($(#[$variant_doc])* $variant,)+ }

        impl From<$name> for usize {
            fn from(name: $name) -> usize {
                name as usize
            }
        }
    };
}
