//! Live entry instances, spread of configuration, escrowed upper limits and shares.
