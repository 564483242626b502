/**
 * What a node keeps: hosts, policy versions and key records.
 */
import {createTimeSource} from '../src/base/time_source.js';
import {createPolicyStore} from '../src/process/in_memory_policy_store.js';
import {createFleetView} from '../src/process/in_memory_fleet_view.js';
import type {FleetView, HostStatus} from '../src/process/fleet_view.js';
import type {HostSelector} from '../src/process/host_selector.js';
import {createHostSelector} from '../src/process/load_aware_selector.js';
import type {KeptRecords} from '../src/process/kept_records.js';
import {createKeptRecords} from '../src/process/kept_records.js';
import {
  createPeerSlots,
  orderCandidates,
} from '../src/process/peer_selection.js';
import {electReaders} from '../src/process/reader_election.js';
import {DEFAULT_CONTROL} from '../src/process/settings_defaults.js';
import {compilePolicy} from '../src/version/compiled_policy.js';
import {createCountingMetrics} from '../test/fakes/counting_metrics.js';
import {
  createHostList,
  createPolicyOfBytes,
  encode,
  regionOf,
  serviceOf,
  TARGET,
  zoneOf,
} from './capacity_documents.js';
import {measureCpuMillis, readLiveBytes} from './capacity_memory.js';
import type {ProbeFigures} from './capacity_probe.js';
import {CapacityProbe} from './capacity_probe.js';

const MICROS_PER_MILLI = 1000;
const OWN_INDEX = 0;
const LISTS_COUNT = 20;
const SELECTIONS_COUNT = 5_000;
const CHOICES_COUNT = 100;
const STATUS_ROUNDS_COUNT = 5;
const KEPT_POLICIES_COUNT = 8;
const RECORD_ANSWER_BYTES = 500;
const FINGERPRINT_BYTES = 32;

function createNode(): {fleet: FleetView; selector: HostSelector} {
  const time = createTimeSource();
  const metrics = createCountingMetrics();
  const fleet = createFleetView({time, metrics});
  const selector = createHostSelector({
    fleet,
    ownZone: zoneOf(OWN_INDEX),
    ownRegion: regionOf(OWN_INDEX),
    hostName: 'host-0',
    time,
    random: Math.random,
    metrics,
  });
  return {fleet, selector};
}

/** A refused list would make every figure that follows one of nothing. */
function offerOrThrow(fleet: FleetView, list: Uint8Array): void {
  const result = fleet.offerList(list, 'bench');
  if (result.kind !== 'accepted') throw new Error(JSON.stringify(result));
}

function createStatuses(count: number, sequence: number): HostStatus[] {
  return Array.from({length: count}, (_, index) => ({
    hostName: `host-${String(index)}`,
    incarnationMillis: 1_700_000_000_000,
    sequence,
    phase: 'serving',
  }));
}

/** Hosts in the published list. */
export function createHostsProbe(): CapacityProbe {
  return new (class extends CapacityProbe {
    override readonly name = 'hosts';
    override readonly quantity = 'hosts';
    override readonly sizes = [10, 100, 300, 600, 1000];
    override async measure(size: number): Promise<ProbeFigures> {
      const beforeBytes = await readLiveBytes();
      const {fleet, selector} = createNode();
      offerOrThrow(fleet, encode(createHostList(size, 1)));
      fleet.mergeStatuses(createStatuses(size, 1));
      const fleetBytes = (await readLiveBytes()) - beforeBytes;
      selectFromAll(selector);
      const allBytes = (await readLiveBytes()) - beforeBytes;
      const figures = {
        listBytes: fleet.listBytes().byteLength,
        fleetViewLiveBytes: fleetBytes,
        selectorLiveBytes: allBytes - fleetBytes,
        ...measureTimes(size, fleet, selector),
      };
      return figures;
    }
  })();
}

function selectFromAll(selector: HostSelector): void {
  for (let index = 0; index < TARGET.servicesCount; index += 1) {
    select(selector, serviceOf(index));
  }
}

function select(selector: HostSelector, service: string): void {
  selector.select({
    service,
    classIndex: 1,
    isStarted: false,
    triedHostNames: new Set(),
  });
}

function measureTimes(
  size: number,
  fleet: FleetView,
  selector: HostSelector,
): ProbeFigures {
  let sequence = 1;
  const lists = Array.from({length: LISTS_COUNT + 1}, (_, index) =>
    encode(createHostList(size, index + 2)),
  );
  let next = 0;
  const acceptMillis = measureCpuMillis(LISTS_COUNT, () => {
    const list = lists[next];
    next += 1;
    if (list !== undefined) offerOrThrow(fleet, list);
  });
  const mergeMillis = measureCpuMillis(STATUS_ROUNDS_COUNT, () => {
    sequence += 1;
    for (const status of createStatuses(size, sequence)) {
      fleet.mergeStatuses([status]);
    }
  });
  const selectMillis = measureCpuMillis(SELECTIONS_COUNT, () => {
    select(selector, serviceOf(0));
  });
  const chooseMillis = measureCpuMillis(CHOICES_COUNT, () => {
    orderAll(fleet);
  });
  const electMillis = measureCpuMillis(CHOICES_COUNT, () => {
    electReaders(zoneOf(OWN_INDEX), DEFAULT_CONTROL.zoneReadersCount, fleet);
  });
  return {
    acceptListMillis: acceptMillis,
    mergeStatusMicros: (mergeMillis * MICROS_PER_MILLI) / size,
    selectMicros: selectMillis * MICROS_PER_MILLI,
    choosePeersMillis: chooseMillis,
    electReadersMillis: electMillis,
  };
}

/** What a node does at each look at its choice of peers. */
function orderAll(fleet: FleetView): void {
  const own = {
    hostName: 'host-0',
    availabilityZone: zoneOf(OWN_INDEX),
    region: regionOf(OWN_INDEX),
  };
  for (const slot of createPeerSlots(DEFAULT_CONTROL)) {
    orderCandidates(slot, own, fleet, DEFAULT_CONTROL.remotePeersCount);
  }
}

/** Bytes of the policy document. */
export function createPolicyProbe(): CapacityProbe {
  return new (class extends CapacityProbe {
    override readonly name = 'policy';
    override readonly quantity = 'document bytes';
    override readonly sizes = [10_000, 50_000, 100_000, 300_000, 1_000_000];
    override async measure(size: number): Promise<ProbeFigures> {
      const documents = Array.from({length: KEPT_POLICIES_COUNT}, (_, index) =>
        createPolicyOfBytes(index + 1, size),
      );
      const compileMillis = measureCpuMillis(KEPT_POLICIES_COUNT, () => {
        if (documents[0] !== undefined) compilePolicy(documents[0]);
      });
      const store = createPolicyStore({
        time: createTimeSource(),
        metrics: createCountingMetrics(),
      });
      const beforeBytes = await readLiveBytes();
      for (const document of documents) store.offer(document, 'bench');
      const keptBytes = (await readLiveBytes()) - beforeBytes;
      const version = store.newest()?.version;
      store.dispose();
      if (version !== KEPT_POLICIES_COUNT) throw new Error('policy refused');
      return {
        documentBytes: documents[0]?.byteLength ?? 0,
        compileMillis,
        // The documents themselves were there before.
        versionLiveBytes:
          keptBytes / KEPT_POLICIES_COUNT + (documents[0]?.byteLength ?? 0),
      };
    }
  })();
}

/** Idempotency keys remembered. */
export function createKeysProbe(): CapacityProbe {
  return new (class extends CapacityProbe {
    override readonly name = 'keys';
    override readonly quantity = 'keys';
    override readonly sizes = [1_000, 3_000, 6_000, 10_000];
    override async measure(size: number): Promise<ProbeFigures> {
      return {
        withoutAnswerLiveBytes: await measureRecords(size, 0),
        withAnswerLiveBytes: await measureRecords(size, RECORD_ANSWER_BYTES),
      };
    }
  })();
}

async function measureRecords(
  size: number,
  answerBytes: number,
): Promise<number> {
  const beforeBytes = await readLiveBytes();
  const records = createKeptRecords();
  for (let index = 0; index < size; index += 1) {
    addRecord(records, index, answerBytes);
  }
  const afterBytes = await readLiveBytes();
  if (records.count !== size) throw new Error('a record was not kept');
  return afterBytes - beforeBytes;
}

function addRecord(
  records: KeptRecords,
  index: number,
  answerBytes: number,
): void {
  const key = `0190${index.toString(16).padStart(32, '0')}`;
  records.start(key, new Uint8Array(FINGERPRINT_BYTES));
  const answer =
    answerBytes === 0
      ? undefined
      : {
          statusCode: 200,
          headers: [['content-type', 'application/json']] as const,
          body: new Uint8Array(answerBytes),
        };
  records.finish(key, {kind: 'ran', answer}, Number.MAX_SAFE_INTEGER);
}
