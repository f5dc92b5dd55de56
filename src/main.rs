//! The process of an entry host; everything it does is in `godwit-host`.

fn main() -> eyre::Result<()> {
    godwit_host::run(&godwit_host::settings().run())
}
