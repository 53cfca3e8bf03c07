//! The tenants of a configuration.

use cornelpoint::job::Resources;
use cornelpoint::tenant::ApiKey;
use cornelpoint::tenant::RawTenant;
use cornelpoint::tenant::TenantFinding;
use cornelpoint::tenant::Tenants;

fn raw(name: &str, keys: &[&str]) -> RawTenant {
    RawTenant {
        name: name.to_owned(),
        keys: keys.iter().map(|key| ApiKey::new(key)).collect(),
        weight_milli: 1000,
        limit: Resources::default(),
    }
}

/// Guards against a mistake in a configuration that lets a caller act for another tenant.
#[test]
fn a_key_of_two_tenants_authenticates_neither() {
    let tenants = Tenants::check(vec![
        Some(raw("a", &["k1", "k2"])),
        Some(raw("b", &["k2", "k3"])),
    ]);
    assert!(tenants.tenant_of(b"k2").is_none());
    assert_eq!(tenants.tenant_of(b"k1").unwrap().name, "a");
    assert_eq!(tenants.tenant_of(b"k3").unwrap().name, "b");
    let shared = TenantFinding::SharedKey {
        tenant: "a".to_owned(),
        other: "b".to_owned(),
    };
    assert_eq!(tenants.findings(), [shared]);
}

/// Guards against one faulty entry that takes the whole configuration down.
#[test]
fn a_faulty_entry_leaves_the_others_in_force() {
    let tenants = Tenants::check(vec![
        None,
        Some(raw("", &["k0"])),
        Some(raw("a", &["k1", "k1", ""])),
        Some(raw("a", &["k2"])),
    ]);
    assert_eq!(tenants.tenant_of(b"k1").unwrap().name, "a");
    for unknown in [&b"k0"[..], b"k2", b""] {
        assert!(tenants.tenant_of(unknown).is_none());
    }
    assert_eq!(tenants.findings().len(), 5);
}
