/**
 * Sends metrics to a StatsD receiver over UDP; failures are counted only.
 */
import {createRequire} from 'node:module';

import type * as HotShots from 'hot-shots';

import type {Disposable} from '../base/lifecycle.js';
import {toDisposable} from '../base/lifecycle.js';
import type {MetricTags} from './metrics.js';
import type {MetricsSettings} from './settings.js';

/** Forwards samples; never throws and never waits. */
export abstract class StatsdSender implements Disposable {
  abstract count(name: string, by: number, tags: MetricTags): void;
  abstract gauge(name: string, value: number, tags: MetricTags): void;
  abstract timing(name: string, valueMillis: number, tags: MetricTags): void;
  /** Hands what is buffered to the socket. */
  abstract flush(): void;
  abstract dispose(): void;
}

/** A datagram of this size crosses usual networks in one piece. */
const DATAGRAM_BYTES = 1400;

/** Creates a sender; `onError` is told of every failure. */
export function createStatsdSender(
  settings: MetricsSettings,
  onError: () => void,
): StatsdSender {
  const client = createClient(settings, onError);
  const ownership = toDisposable(() => {
    client.close(error => {
      if (error !== undefined) onError();
    });
  });
  return new (class extends StatsdSender {
    override count(name: string, by: number, tags: MetricTags): void {
      client.increment(name, by, tags);
    }
    override gauge(name: string, value: number, tags: MetricTags): void {
      client.gauge(name, value, tags);
    }
    override timing(name: string, valueMillis: number, tags: MetricTags): void {
      client.timing(name, valueMillis, tags);
    }
    override flush(): void {
      client.flush();
    }
    override dispose(): void {
      ownership.dispose();
    }
  })();
}

function createClient(
  settings: MetricsSettings,
  onError: () => void,
): HotShots.StatsD {
  // Loaded here because it takes several megabytes that a node without a
  // receiver need not spend.
  const require = createRequire(import.meta.url);
  const {StatsD} = require('hot-shots') as typeof HotShots;
  return new StatsD({
    host: settings.statsdAddress,
    port: settings.statsdPort,
    prefix: settings.prefix,
    maxBufferSize: DATAGRAM_BYTES,
    includeDataDogTags: false,
    errorHandler: onError,
  });
}
