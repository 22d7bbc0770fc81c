//! The kinds of configured objects, and the id type of each kind.

use std::{
    fmt,
    hash::Hash, //
};

use ipnet::IpNet;
use serde::{
    Deserialize,
    Serialize,
    de::DeserializeOwned, //
};

use crate::{
    config::object::{
        Block,
        ConfigSet,
        Drain,
        Key,
        Link,
        Organisation,
        Pool,
        Region,
        Route,
        Service,
        Zone, //
    },
    util::id::{
        ObjectName,
        OrganisationName,
        RegionName,
        ServiceName,
        ZoneName, //
    },
};

/// A kind of configured object.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ObjectKind {
    /// A [`Region`].
    Region,
    /// An availability [`Zone`].
    Zone,
    /// One direction of a [`Link`] between regions.
    Link,
    /// A [`Service`].
    Service,
    /// A [`Route`].
    Route,
    /// An [`Organisation`].
    Organisation,
    /// A [`Key`] of an organisation.
    Key,
    /// A [`Pool`] of upstreams.
    Pool,
    /// A planned [`Drain`].
    Drain,
    /// A [`Block`] of client addresses.
    Block,
}

impl ObjectKind {
    /// All kinds; objects of a kind refer only to kinds that come before it.
    pub const ALL: [Self; 10] = [
        Self::Region,
        Self::Zone,
        Self::Link,
        Self::Service,
        Self::Organisation,
        Self::Route,
        Self::Key,
        Self::Pool,
        Self::Drain,
        Self::Block,
    ];

    /// Returns the kind's name in TOML files.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Region => "region",
            Self::Zone => "zone",
            Self::Link => "link",
            Self::Service => "service",
            Self::Route => "route",
            Self::Organisation => "organisation",
            Self::Key => "key",
            Self::Pool => "pool",
            Self::Drain => "drain",
            Self::Block => "block",
        }
    }
}

impl fmt::Display for ObjectKind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(self.as_str())
    }
}

/// A type of object in the configuration set.
pub trait ConfigObject: Clone + PartialEq + Serialize + DeserializeOwned {
    /// The type that identifies an object among its kind.
    type Id: Clone + Ord + Hash + fmt::Display + fmt::Debug + Serialize + DeserializeOwned;
    /// The kind of objects that the type represents.
    const KIND: ObjectKind;

    /// Returns the object's id: its name, or the address range of a block.
    fn id(&self) -> &Self::Id;

    /// Returns all objects of the kind in a set.
    fn all(set: &ConfigSet) -> &Vec<Self>;

    /// Returns a mutable list of all objects of the kind in a set.
    fn all_mut(set: &mut ConfigSet) -> &mut Vec<Self>;
}

macro_rules! configured {
    ($($type:ident, $id:ident, $field:ident, $all:ident;)*) => {$(
        impl ConfigObject for $type {
            type Id = $id;
            const KIND: ObjectKind = ObjectKind::$type;

            fn id(&self) -> &$id {
                &self.$field
            }

            fn all(set: &ConfigSet) -> &Vec<Self> {
                &set.$all
            }

            fn all_mut(set: &mut ConfigSet) -> &mut Vec<Self> {
                &mut set.$all
            }
        }
    )*};
}

configured! {
    Region, RegionName, name, regions;
    Zone, ZoneName, name, zones;
    Link, ObjectName, name, links;
    Service, ServiceName, name, services;
    Route, ObjectName, name, routes;
    Organisation, OrganisationName, name, organisations;
    Key, ObjectName, name, keys;
    Pool, ObjectName, name, pools;
    Drain, ObjectName, name, drains;
    Block, IpNet, net, blocks;
}

/// Calls a macro once with the list of all configured types, in the order of [`ObjectKind::ALL`].
macro_rules! for_each_kind {
    ($callback:ident) => {
        $callback! {
            regions: Region,
            zones: Zone,
            links: Link,
            services: Service,
            organisations: Organisation,
            routes: Route,
            keys: Key,
            pools: Pool,
            drains: Drain,
            blocks: Block
        }
    };
}
pub(crate) use for_each_kind;
