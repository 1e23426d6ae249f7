//! Executable of the router daemon.

fn main() -> anyhow::Result<()> {
    router::run()
}
