//! Registration of this entry in the platform store, where its peers discover it.

use async_io::Timer;

use crate::platform::{Object, Platform, PlatformError, Vm};
use crate::prelude::*;

/// Mean delay between two tries, and between two checks for a restore.
const RETRY_DELAY: Duration = Duration::from_millis(700);

/// Writes the entry's own object to the platform store, and again after each restore of the store
/// from an older copy, which may lack it. Never returns.
pub(crate) async fn keep_registered(platform: Arc<dyn Platform>, kind: &'static str, own: Vm) {
    let mut written_in = None;
    loop {
        let era = platform.era();
        if written_in != Some(era) {
            match write(&*platform, kind, &own).await {
                Ok(()) => written_in = Some(platform.era()),
                Err(err) => log::info!("event=register_failed error={:?}", err.to_string()),
            }
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
