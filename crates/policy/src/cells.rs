//! Cells: groups of engines of one region that serve the same models and workspaces, each owned
//! by one router.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::HashMap;

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::fleet::Fleet;
use crate::fleet::ServerKind;
use crate::interner::NameKey;
use crate::rendezvous;
use crate::routers::Routers;
use crate::Identity;
use crate::PlacementKind;
use crate::ServerKey;

/// Maximum number of engines in a cell.
const LARGEST_CELL: usize = 16;

/// The router that owns a cell.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Owner {
    /// This router.
    Own,
    /// The router on the VM with this name.
    Peer(String),
}

/// Engines of one region that may run the same models for the same workspaces.
#[derive(Clone, Debug)]
pub(crate) struct Cell {
    /// Hash of the region, models and workspaces, and of the number of the cell among those
    /// that have these in common; the same on every router.
    pub(crate) id: u64,
    pub(crate) region: NameKey,
    pub(crate) members: Vec<ServerKey>,
    pub(crate) owner: Owner,
    workspaces: Vec<NameKey>,
}

/// Index of a cell, valid until the configuration changes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct CellKey(u32);

/// All cells of the configuration, with indexes.
#[derive(Debug, Default)]
pub(crate) struct Cells {
    cells: Vec<Cell>,
    by_id: HashMap<u64, CellKey>,
    by_model: HashMap<NameKey, Vec<CellKey>>,
    by_server: HashMap<ServerKey, u64>,
}

/// Region, models and workspaces that the engines of a cell have in common.
type EngineClass = (NameKey, Vec<NameKey>, Vec<NameKey>);

impl Cells {
    /// Groups the declared engines into cells.
    ///
    /// With [`PlacementKind::Cells`] a cell has at most `cell_size` engines, and never more
    /// than [`LARGEST_CELL`]. With the other kinds it has all engines, of any region, that
    /// serve the same models and workspaces.
    pub(crate) fn rebuild(&mut self, fleet: &Fleet, kind: PlacementKind, cell_size: u32) {
        *self = Cells::default();
        let size = match kind {
            PlacementKind::Cells => (cell_size as usize).clamp(1, LARGEST_CELL),
            PlacementKind::Affinity | PlacementKind::Alone => usize::MAX,
        };
        for (class, mut members) in group_by_class(fleet, kind) {
            members.sort_unstable_by_key(|key| (fleet.server(*key).name_hash, *key));
            let count = members.len().div_ceil(size);
            for number in 0..count {
                let from = members.len() * number / count;
                let to = members.len() * (number + 1) / count;
                self.add(fleet, &class, number, &members[from..to]);
            }
        }
    }

    fn add(&mut self, fleet: &Fleet, class: &EngineClass, number: usize, members: &[ServerKey]) {
        let key = CellKey(u32::try_from(self.cells.len()).expect("fewer than 2^32 cells"));
        let (region, models, workspaces) = class;
        let id = cell_id(fleet, class, number);
        self.by_id.insert(id, key);
        for model in models {
            self.by_model.entry(*model).or_default().push(key);
        }
        for server in members {
            self.by_server.insert(*server, id);
        }
        self.cells.push(Cell {
            id,
            region: *region,
            members: members.to_vec(),
            owner: Owner::Own,
            workspaces: workspaces.clone(),
        });
    }

    /// Assigns an owner to each cell: the router that ranks first by rendezvous
    /// hashing among those of the cell's region that are not leaving, or among
    /// those of all regions if the cell's region has none. Without
    /// [`PlacementKind::Cells`], this router owns every cell.
    pub(crate) fn assign_owners(
        &mut self,
        fleet: &Fleet,
        kind: PlacementKind,
        own: &Identity,
        routers: &Routers,
    ) {
        if kind != PlacementKind::Cells {
            return;
        }
        let candidates = owner_candidates(own, routers);
        for cell in &mut self.cells {
            let region = fleet.regions.name(cell.region);
            let same_region = candidates.iter().filter(|c| *c.region == **region);
            let first = same_region
                .max_by_key(|c| c.weight(cell.id))
                .or_else(|| candidates.iter().max_by_key(|c| c.weight(cell.id)));
            cell.owner = match first {
                Some(router) if router.vm != own.vm => Owner::Peer(router.vm.to_owned()),
                _ => Owner::Own,
            };
        }
    }

    /// Returns the cell with this index.
    pub(crate) fn get(&self, key: CellKey) -> &Cell {
        &self.cells[key.0 as usize]
    }

    /// Returns the cell with this id.
    pub(crate) fn find(&self, id: u64) -> Option<&Cell> {
        self.by_id.get(&id).map(|key| self.get(*key))
    }

    /// Returns the id of the cell that a server belongs to.
    pub(crate) fn id_of(&self, server: ServerKey) -> Option<u64> {
        self.by_server.get(&server).copied()
    }

    /// Returns the cells whose engines may run `model` for `workspace`.
    pub(crate) fn serving(
        &self,
        workspace: NameKey,
        model: NameKey,
    ) -> impl Iterator<Item = (CellKey, &Cell)> {
        self.by_model
            .get(&model)
            .into_iter()
            .flatten()
            .map(|key| (*key, self.get(*key)))
            .filter(move |(_, cell)| cell.serves(workspace))
    }

    /// Returns whether the engines of the cell may run `model` for `workspace`.
    pub(crate) fn serves(&self, id: u64, workspace: NameKey, model: NameKey) -> bool {
        self.serving(workspace, model)
            .any(|(_, cell)| cell.id == id)
    }

    /// Returns the cells that this router owns.
    pub(crate) fn owned(&self) -> impl Iterator<Item = &Cell> {
        self.cells.iter().filter(|cell| cell.owner == Owner::Own)
    }

    /// Returns the number of cells.
    pub(crate) fn len(&self) -> usize {
        self.cells.len()
    }
}

impl Cell {
    fn serves(&self, workspace: NameKey) -> bool {
        self.workspaces.is_empty() || self.workspaces.contains(&workspace)
    }
}

/// A router that could own a cell.
struct OwnerCandidate<'a> {
    vm: &'a str,
    vm_hash: u64,
    region: &'a str,
}

impl OwnerCandidate<'_> {
    fn weight(&self, cell: u64) -> (u64, &str) {
        (rendezvous::weight(cell, self.vm_hash), self.vm)
    }
}

fn owner_candidates<'a>(own: &'a Identity, routers: &'a Routers) -> Vec<OwnerCandidate<'a>> {
    let peers = routers
        .iter()
        .filter(|(_, router)| !router.leaving)
        .map(|(vm, router)| (vm.as_str(), router.region.as_str()));
    peers
        .chain(std::iter::once((own.vm.as_str(), own.region.as_str())))
        .map(|(vm, region)| OwnerCandidate {
            vm,
            vm_hash: rendezvous::name_hash(vm),
            region,
        })
        .collect()
}

fn group_by_class(fleet: &Fleet, kind: PlacementKind) -> BTreeMap<EngineClass, Vec<ServerKey>> {
    let mut classes: BTreeMap<EngineClass, Vec<ServerKey>> = BTreeMap::new();
    for key in fleet.declared_engines() {
        let server = fleet.server(key);
        let ServerKind::Engine { models, workspaces } = &server.kind else {
            continue;
        };
        let region = match kind {
            PlacementKind::Cells => server.region,
            PlacementKind::Affinity | PlacementKind::Alone => NameKey(0),
        };
        let class = (region, sorted(models), sorted(workspaces));
        classes.entry(class).or_default().push(key);
    }
    classes
}

fn sorted(names: &[NameKey]) -> Vec<NameKey> {
    let unique: BTreeSet<NameKey> = names.iter().copied().collect();
    unique.into_iter().collect()
}

/// Returns a cell id that is the same on every router; it depends on names
/// only, not on interned keys.
fn cell_id(fleet: &Fleet, (region, models, workspaces): &EngineClass, number: usize) -> u64 {
    let hash = |name: &str, seed| xxh3_64_with_seed(name.as_bytes(), seed);
    let region = hash(fleet.regions.name(*region), number as u64);
    let models = sum_of(models.iter().map(|m| hash(fleet.models.name(*m), region)));
    sum_of(
        workspaces
            .iter()
            .map(|w| hash(fleet.workspaces.name(*w), models)),
    )
    .wrapping_add(models)
}

fn sum_of<I>(hashes: I) -> u64
where
    I: Iterator<Item = u64>,
{
    hashes.fold(0, u64::wrapping_add)
}
