//! This entry's own object in the platform's store, by which its peers find it.

use async_io::Timer;

use crate::platform::{Object, Platform, PlatformError, Vm};
use crate::prelude::*;

/// Pause after a failed call.
const PAUSE: Duration = Duration::from_millis(700);

/// Writes the entry's own object until the store has it.
pub(crate) async fn register(platform: Arc<dyn Platform>, kind: &'static str, own: Vm) {
    loop {
        match write(&*platform, kind, &own).await {
            Ok(()) => return,
            Err(err) => log::info!("event=register_failed error={:?}", err.to_string()),
        }
        Timer::after(PAUSE.mul_f64(0.5 + fastrand::f64())).await;
    }
}

async fn write(platform: &dyn Platform, kind: &str, own: &Vm) -> Result<(), PlatformError> {
    let spec = serde_json::json!(own);
    let fresh = Object::new(kind, own.name.clone(), spec.clone());
    match platform.create(fresh).await {
        Err(PlatformError::Conflict) => {}
        created => return created.map(|_| ()),
    }
    match platform.get(kind, &own.name).await? {
        Some(old) if old.spec == spec => Ok(()),
        Some(old) => platform.update(Object { spec, ..old }).await.map(|_| ()),
        None => Err(PlatformError::Conflict),
    }
}
