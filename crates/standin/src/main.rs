fn main() -> anyhow::Result<()> {
    standin::run()
}
