/**
 * The dump of a process's state on request: each module contributes a section.
 */
import {describeError} from '../base/errors.js';
import type {Disposable} from '../base/lifecycle.js';
import {toDisposable} from '../base/lifecycle.js';

/** JSON-compatible value. */
export type JsonValue =
  | string
  | number
  | boolean
  | null
  | readonly JsonValue[]
  | {readonly [name: string]: JsonValue | undefined};

/** Produces a section's content when a dump is asked for. */
export type StateSection = () => JsonValue;

/** Sections by name. */
export interface StateDump {
  /** Adds a section; disposing of the result removes it. */
  register(name: string, section: StateSection): Disposable;
  /** Collects all sections now; one that fails holds its error instead. */
  collect(): Readonly<Record<string, JsonValue>>;
}

/** Creates a dump without sections. */
export function createStateDump(): StateDump {
  const sections = new Map<string, StateSection>();
  return {
    register: (name, section) => {
      sections.set(name, section);
      return toDisposable(() => {
        sections.delete(name);
      });
    },
    collect: () => {
      const entries = [...sections].map(
        ([name, section]) => [name, collectSection(section)] as const,
      );
      return Object.fromEntries(entries);
    },
  };
}

/**
 * A dump is asked for when something is broken; one section that throws must
 * not hide the others.
 */
function collectSection(section: StateSection): JsonValue {
  try {
    return section();
  } catch (error) {
    return {error: describeError(error)};
  }
}
