/**
 * Measures how the cost of each decision grows with the fleet: microseconds with few and
 * with many upstreams in one run, and their ratio.
 */
import {createEntryAdmission} from '../src/process/admission/entry_admission.js';
import {createLoadTable} from '../src/process/admission/load_table.js';
import {createPlacementChooser} from '../src/process/placement/placement.js';
import {createUpstreamDirectory} from '../src/process/membership/upstream_directory.js';
import type {UpstreamEntry} from '../src/process/membership/upstream_entry.js';
import {createCrashEvidence} from '../src/process/quarantine/crash_evidence.js';
import {createCrashQuarantine} from '../src/request/crash_quarantine.js';
import {createUpstreamQueue} from '../src/process/admission/upstream_queue.js';

/** Compared fleets: the larger current one, and the size that the design targets. */
const SMALL = {servicesCount: 4, upstreamsCount: 15};
const LARGE = {servicesCount: 34, upstreamsCount: 830};

/** Calls per measurement. */
const ROUNDS_COUNT = 20_000;

const MICROS_PER_MILLI = 1000;

interface FleetSize {
  readonly servicesCount: number;
  readonly upstreamsCount: number;
}

interface Decision {
  readonly name: string;
  readonly prepare: (size: FleetSize) => (round: number) => void;
}

const DECISIONS: readonly Decision[] = [
  {name: 'placement', prepare: preparePlacement},
  {
    name: 'entry admission, calls to three services',
    prepare: prepareEntryAdmission,
  },
  {name: 'queue, offer and release', prepare: prepareQueue},
  {name: 'entry of one upstream changes', prepare: prepareEntryChange},
  {name: 'quarantine, no suspect', prepare: () => prepareQuarantine(0)},
  {
    name: 'quarantine, one crash per 10 upstreams',
    prepare: ({upstreamsCount}) => prepareQuarantine(upstreamsCount / 10),
  },
];

/** Measures every decision with both fleets. */
export function measureDecisions(): Promise<readonly string[]> {
  const lines = DECISIONS.map(({name, prepare}) => {
    const small = measureMicros(prepare(SMALL));
    const large = measureMicros(prepare(LARGE));
    return `${name}: ${small.toFixed(2)} us at ${String(SMALL.upstreamsCount)} upstreams, ${large.toFixed(2)} us at ${String(LARGE.upstreamsCount)} (${(large / small).toFixed(1)} times)`;
  });
  return Promise.resolve(lines);
}

function measureMicros(run: (round: number) => void): number {
  for (let round = 0; round < ROUNDS_COUNT; round += 1) run(round);
  const startMillis = performance.now();
  for (let round = 0; round < ROUNDS_COUNT; round += 1) run(round);
  const spentMillis = performance.now() - startMillis;
  return (spentMillis * MICROS_PER_MILLI) / ROUNDS_COUNT;
}

function createEntries(size: FleetSize): readonly UpstreamEntry[] {
  return Array.from({length: size.upstreamsCount}, (_, index) => ({
    id: `u-${String(index)}`,
    service: `service-${String(index % size.servicesCount)}`,
    bornMillis: undefined,
    sequenceNumber: undefined,
    hostKey: `10.0.0.${String(index)}:80`,
    node: {address: `10.0.0.${String(index)}`, port: 90},
    zone: `zone-${String(index % 10)}`,
    region: `region-${String(index % 3)}`,
    slotsCount: 50,
    isDraining: false,
    coldLeftMillis: 0,
  }));
}

function createNodeState(size: FleetSize) {
  const nowMillis = (): number => performance.now();
  const loadTable = createLoadTable(nowMillis);
  const directory = createUpstreamDirectory({
    nowMillis,
    onChange: () => undefined,
  });
  const entries = createEntries(size);
  directory.put(entries);
  for (const entry of entries) {
    loadTable.observe({
      upstreamId: entry.id,
      service: entry.service,
      inFlightCount: 3,
      queuedCount: 0,
      limitCount: 47,
      averageMillis: 40,
      level: 511,
      madeAtMillis: nowMillis(),
    });
  }
  return {loadTable, directory, entries, nowMillis};
}

function preparePlacement(size: FleetSize): (round: number) => void {
  const {loadTable, directory, nowMillis} = createNodeState(size);
  const chooser = createPlacementChooser({
    directory,
    loadTable,
    hostKey: '10.9.9.9:80',
    zone: 'zone-0',
    region: 'region-0',
    nowMillis,
    random: Math.random,
  });
  const noIds = new Set<string>();
  return round => {
    const service = `service-${String(round % size.servicesCount)}`;
    chooser.choose(service, noIds)?.end('served');
  };
}

function prepareEntryAdmission(size: FleetSize): (round: number) => void {
  const {loadTable} = createNodeState(size);
  const entryAdmission = createEntryAdmission(loadTable, () => true);
  const callCounts = new Map([
    ['service-1', 1],
    ['service-2', 4],
    ['service-3', 2],
  ]);
  return round => {
    const attemptId = `attempt-${String(round)}`;
    entryAdmission.shedCause(
      {importance: 130, attemptId},
      'service-0',
      callCounts,
    );
  };
}

function prepareQueue(_size: FleetSize): (round: number) => void {
  const queue = createUpstreamQueue(() => performance.now());
  const request = {
    importance: 1,
    beganAtMillis: 0,
    startByMillis: Infinity,
    start: () => undefined,
    expire: () => undefined,
  };
  return () => {
    queue.offer(request);
    queue.release(1);
  };
}

/** Requests in flight at each crash. */
const SUSPECTS_COUNT = 20;

const BODY = Buffer.alloc(4096);

/** Checks whether a request is quarantined, as a node does for each client request. */
function prepareQuarantine(crashesCount: number): (round: number) => void {
  const evidence = createCrashEvidence({
    nowMillis: () => performance.now(),
    onQuarantined: () => undefined,
    onReleased: () => undefined,
  });
  for (let index = 0; index < crashesCount; index += 1) {
    const crashId = `crash-${String(index)}`;
    const fingerprints = Array.from(
      {length: SUSPECTS_COUNT},
      (_, suspectIndex) => `${crashId}-${String(suspectIndex)}`,
    );
    evidence.add([
      {
        crashId,
        upstreamId: 'u-1',
        ageMillis: 0,
        fingerprints,
        clearedFingerprints: [],
      },
    ]);
  }
  const quarantine = createCrashQuarantine({
    evidence,
    onRefused: () => undefined,
    onCleared: () => undefined,
  });
  return round => {
    quarantine.holds({
      attemptId: String(round),
      callerService: 'service-0',
      method: 'POST',
      target: `/orders/${String(round)}`,
      headers: ['host', 'shop.example'],
      body: BODY,
    });
  };
}

function prepareEntryChange(size: FleetSize): (round: number) => void {
  const {directory, entries} = createNodeState(size);
  return round => {
    const entry = entries[round % entries.length];
    if (entry !== undefined) directory.put([entry]);
  };
}
