//! The proxy as the bench starts it: the same program as `gatestage proxy`.
#![forbid(unsafe_code)]

fn main() -> std::process::ExitCode {
    haventrack::proxy::program::main()
}
