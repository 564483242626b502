/**
 * Statements of the scenario language as its grammar produces them.
 */
import type {LinkMode} from '../../src/emulator/faulty_link.js';
import type {PlatformFault} from '../../src/emulator/emulated_platform.js';
import type {UpstreamFault} from '../../src/emulator/upstream_config.js';

/** One host by its name. */
export interface HostRef {
  readonly kind: 'named';
  readonly name: string;
}

/** Several hosts. */
export type HostsRef =
  | {readonly kind: 'one'; readonly host: HostRef}
  | {
      readonly kind: 'every';
      readonly service?: string | undefined;
      readonly zone?: string | undefined;
    };

/** What to send and where. */
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
  /** Without it the statement waits for its results. */
  readonly group?: string | undefined;
}

/** Ways a daemon is acted upon. */
export type DaemonAction =
  'kill' | 'stop' | 'freeze' | 'resume' | 'replace' | 'launch' | 'reload';

/** Links in front of a host. */
export type LinkName = 'peer' | 'upstream';

/** What a condition counts. */
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
  /** As written, for messages. */
  readonly text: string;
}

/** What a statement does. */
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
      /** Members of lists are addressed by their names. */
      readonly path: readonly string[];
      readonly value: number | boolean | string;
    }
  | {readonly kind: 'start'; readonly limitMillis: number}
  | {
      readonly kind: 'publish-policy';
      readonly version?: number | undefined;
      /** Version that the platform gives for the document, if another. */
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
      /** Runs in the background until awaited by this name. */
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
      /** Without it the link has its full width. */
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

/** One statement with its line in the file. */
export type Statement = StatementBody & {readonly line: number};

/** Statement of one kind. */
export type StatementOf<K extends Statement['kind']> = Extract<
  Statement,
  {kind: K}
>;
