//! The inner protocol between entry instances.
