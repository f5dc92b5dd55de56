//! Small stand-ins of the platform, of model engines and of plain services.
