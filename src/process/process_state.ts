/**
 * State section about the process itself.
 */
import {readPackageVersion} from '../base/package_version.js';
import type {TimeSource} from '../base/time_source.js';
import type {Settings} from './settings.js';
import type {StateSection} from './state_dump.js';

/** Creates the section; the time of its creation counts as the start. */
export function createProcessStateSection(
  settings: Settings,
  time: TimeSource,
): StateSection {
  const {hostName, service, availabilityZone, region} = settings;
  const startedWallMillis = time.wallMillis();
  const startedMonotonicMillis = time.monotonicMillis();
  const packageVersion = readPackageVersion();
  return () => {
    const {rss, heapUsed} = process.memoryUsage();
    return {
      hostName,
      service,
      availabilityZone,
      region,
      packageVersion,
      nodeVersion: process.version,
      pid: process.pid,
      startedWallMillis,
      runningMillis: Math.round(
        time.monotonicMillis() - startedMonotonicMillis,
      ),
      residentBytes: rss,
      heapUsedBytes: heapUsed,
    };
  };
}
