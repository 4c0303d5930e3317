//! Registration of this entry in the platform store, where its peers discover it.

use async_io::Timer;

use crate::platform::{Object, Platform, PlatformError, Vm};
use crate::prelude::*;

/// Mean delay between two tries, and between two checks for a restore.
const RETRY_DELAY: Duration = Duration::from_millis(700);

/// Checks in a row that find the entry missing after which it is written again: a watch shows late
/// what was just written.
const MISSING_CHECKS: u32 = 10;

/// Writes the entry's own object to the platform store, and again after each restore of the store
/// from an older copy, which may lack it, and when others have removed or overwritten it. Never
/// returns.
pub(crate) async fn keep_registered(
    platform: Arc<dyn Platform>,
    kind: &'static str,
    own: Vm,
    is_missing: impl Fn() -> bool,
) {
    let mut written_in = None;
    let mut missing_checks = 0;
    loop {
        let era = platform.era();
        missing_checks = if is_missing() { missing_checks + 1 } else { 0 };
        if written_in != Some(era) || missing_checks >= MISSING_CHECKS {
            missing_checks = 0;
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
