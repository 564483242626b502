/**
 * Statements of the scenario language as its grammar produces them.
 */
import type {LinkMode} from '../../src/emulator/faulty_link.js';
import type {PlatformFault} from '../../src/emulator/emulated_platform.js';
import type {UpstreamFault} from '../../src/emulator/upstream_config.js';

/** Reference to one host. */
export interface HostRef {
  readonly kind: 'named';
  readonly name: string;
}

/** Reference to one host, or to all hosts of a service and zone. */
export type HostsRef =
  | {readonly kind: 'one'; readonly host: HostRef}
  | {
      readonly kind: 'every';
      readonly service?: string | undefined;
      readonly zone?: string | undefined;
    };

/** Request and target of a `send` or `load` statement. */
export interface RequestSpec {
  readonly request: {
    readonly method: string;
    readonly service: string;
    readonly path: string;
  };
  readonly target:
    | {readonly kind: 'host'; readonly host: HostRef}
    | {readonly kind: 'any'; readonly zone?: string | undefined};
  readonly bodyBytes?: number | undefined;
  readonly timeoutMillis?: number | undefined;
  /** Name to await the results by; if absent, the statement waits for them. */
  readonly group?: string | undefined;
}

/** Actions on a daemon. */
export type DaemonAction =
  'kill' | 'stop' | 'freeze' | 'resume' | 'replace' | 'launch' | 'reload';

/** Names of the links in front of a host. */
export type LinkName = 'peer' | 'upstream';

/** The count that a condition compares. */
export type Measure =
  | {
      readonly kind:
        'executions' | 'maximum-executions' | 'unanswered-executions';
      readonly group: string;
      readonly service: string;
    }
  | {
      readonly kind: 'maximum-retries' | 'maximum-repeats' | 'false-not-run';
      readonly group: string;
    }
  | {
      readonly kind: 'status';
      readonly statusCode: number;
      readonly group: string;
    }
  | {readonly kind: 'reason'; readonly reason: string; readonly group: string}
  | {
      readonly kind: 'results';
      readonly result:
        | 'sent'
        | 'answered'
        | 'wrong'
        | 'failed'
        | 'broken'
        | 'not-run'
        | 'unknown'
        | 'ran';
      readonly group: string;
    }
  | {readonly kind: 'received'; readonly hosts: HostsRef}
  | {
      readonly kind: 'arrivals';
      readonly group: string;
      readonly hosts: HostsRef;
    }
  | {readonly kind: 'version' | 'exit-code'; readonly host: HostRef}
  | {
      readonly kind: 'version-bound';
      readonly which: 'lowest' | 'highest';
      readonly zone?: string | undefined;
    }
  | {
      readonly kind:
        | 'version-decreases'
        | 'version-conflicts'
        | 'ready-hosts'
        | 'platform-calls'
        | 'wrong-calls';
    };

/** Comparison of a count with a number. */
export interface Condition {
  readonly measure: Measure;
  readonly operator: '<=' | '>=' | '!=' | '=' | '<' | '>';
  readonly value: number;
  /** Source text, used in messages. */
  readonly text: string;
}

/** Statement without its position. */
export type StatementBody =
  | {
      readonly kind: 'fleet';
      readonly zonesCount: number;
      readonly hostsCount: number;
      readonly hasLinks: boolean;
      readonly spareHosts: readonly string[];
    }
  | {
      readonly kind: 'policy-set';
      /** Members of lists are selected by name. */
      readonly path: readonly string[];
      readonly value: number | boolean | string;
    }
  | {readonly kind: 'start'; readonly limitMillis: number}
  | {
      readonly kind: 'publish-policy';
      readonly version?: number | undefined;
      /** Version in the platform's ETag, if it differs from the document's. */
      readonly etagVersion?: number | undefined;
    }
  | {
      readonly kind: 'publish-document';
      readonly text: string;
      readonly version: number;
    }
  | {
      readonly kind: 'publish-hosts';
      readonly changes: readonly {
        readonly host: HostRef;
        readonly state: 'live' | 'leaving' | 'removed';
      }[];
    }
  | ({readonly kind: 'send'; readonly count: number} & RequestSpec)
  | ({
      readonly kind: 'load';
      readonly ratePerSecond: number;
      readonly durationMillis: number;
    } & RequestSpec)
  | {readonly kind: 'await'; readonly group: string}
  | {
      readonly kind: 'daemon';
      readonly action: DaemonAction;
      readonly hosts: HostsRef;
      /** If present, runs in the background until awaited by this name. */
      readonly group?: string | undefined;
    }
  | {
      readonly kind: 'zone-link';
      readonly zoneA: string;
      readonly zoneB: string;
      readonly mode: LinkMode;
    }
  | {
      readonly kind: 'host-link';
      readonly link: LinkName;
      readonly hosts: HostsRef;
      readonly mode: LinkMode;
    }
  | {
      readonly kind: 'link-width';
      readonly link: LinkName;
      readonly hosts: HostsRef;
      /** Bandwidth limit; none if absent. */
      readonly bytesPerSecond?: number | undefined;
    }
  | {
      readonly kind: 'forget';
      readonly link: LinkName;
      readonly hosts: HostsRef;
    }
  | {
      readonly kind: 'platform';
      readonly front: string;
      readonly fault: Partial<PlatformFault>;
    }
  | {
      readonly kind: 'upstream';
      readonly hosts: HostsRef;
      readonly change: Partial<UpstreamFault> | 'release' | 'restart';
    }
  | {readonly kind: 'pause'; readonly millis: number}
  | {
      readonly kind: 'wait-until';
      readonly condition: Condition;
      readonly limitMillis: number;
    }
  | {readonly kind: 'expect'; readonly condition: Condition};

/** A statement with its line number in the file. */
export type Statement = StatementBody & {readonly line: number};

/** A statement of one kind. */
export type StatementOf<K extends Statement['kind']> = Extract<
  Statement,
  {kind: K}
>;
