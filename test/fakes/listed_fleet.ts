/**
 * A fleet view over a fixed list of hosts, for tests of routing.
 */
import {createEmitter} from '../../src/base/event.js';
import type {HostStatus, KnownHost} from '../../src/process/fleet_view.js';
import {FleetView} from '../../src/process/fleet_view.js';
import type {HostList, PublishedHost} from '../../src/version/host_list.js';

/** A fleet view that a test changes at will. */
export abstract class ListedFleet extends FleetView {
  /** Publishes another list. */
  abstract publish(hosts: readonly KnownHost[]): void;
}

/** Creates a view of the given hosts. */
export function createListedFleet(
  initialHosts: readonly KnownHost[],
): ListedFleet {
  let hosts = initialHosts;
  let revision = 1;
  const listChanges = createEmitter<HostList>();
  const statusChanges = createEmitter<readonly HostStatus[]>();
  return new (class extends ListedFleet {
    override readonly onDidChangeList = listChanges.event;
    override readonly onDidLearnStatuses = statusChanges.event;
    override publish(newHosts: readonly KnownHost[]): void {
      hosts = newHosts;
      revision += 1;
    }
    override listRevision(): number {
      return revision;
    }
    override listDigest(): string {
      return '';
    }
    override listBytes(): Uint8Array {
      return new Uint8Array();
    }
    override list(): HostList {
      return {revision, hosts: hosts.map(known => known.host)};
    }
    override offerList(): never {
      throw new Error('This view takes no offers.');
    }
    override mergeStatuses(): readonly HostStatus[] {
      return [];
    }
    override statuses(): readonly HostStatus[] {
      return [];
    }
    override statusDigest(): bigint {
      return 0n;
    }
    override host(hostName: string): KnownHost | undefined {
      return hosts.find(known => known.host.name === hostName);
    }
    override hostsOf(service: string): readonly KnownHost[] {
      return hosts.filter(known => known.host.service === service);
    }
    override hostsIn(availabilityZone: string): readonly KnownHost[] {
      return hosts.filter(
        known => known.host.availabilityZone === availabilityZone,
      );
    }
  })();
}

/** A live host of the service `atlas` in zone `z1` of region `r1`. */
export function createKnownHost(
  name: string,
  changes: Partial<PublishedHost> = {},
): KnownHost {
  const host: PublishedHost = {
    name,
    service: 'atlas',
    availabilityZone: 'z1',
    region: 'r1',
    address: '127.0.0.1',
    peerPort: 1,
    controlPort: 2,
    state: 'live',
    ...changes,
  };
  return {host, status: undefined, acceptsNewWork: host.state === 'live'};
}
