//! Registration of this entry in the platform store, where its peers discover it.

use async_io::Timer;

use crate::platform::{Object, Platform, PlatformError, Vm};
use crate::prelude::*;

/// Mean delay between two tries.
const RETRY_DELAY: Duration = Duration::from_millis(700);

/// Writes the entry's own object to the platform store, and retries until it succeeds.
pub(crate) async fn register(platform: Arc<dyn Platform>, kind: &'static str, own: Vm) {
    loop {
        match write(&*platform, kind, &own).await {
            Ok(()) => return,
            Err(err) => log::info!("event=register_failed error={:?}", err.to_string()),
        }
        Timer::after(RETRY_DELAY.mul_f64(0.5 + fastrand::f64())).await;
    }
}

async fn write(platform: &dyn Platform, kind: &str, own: &Vm) -> Result<(), PlatformError> {
    let spec = serde_json::json!(own);
    let object = Object::new(kind, own.name.clone(), spec.clone());
    match platform.create(object).await {
        Err(PlatformError::Conflict) => {}
        created => return created.map(|_| ()),
    }
    match platform.get(kind, &own.name).await? {
        Some(old) if old.spec == spec => Ok(()),
        Some(old) => platform.update(Object { spec, ..old }).await.map(|_| ()),
        None => Err(PlatformError::Conflict),
    }
}
