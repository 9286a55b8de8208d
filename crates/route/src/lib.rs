//! Choice of a target and admission beside it.
