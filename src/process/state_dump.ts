/**
 * The dump of a process's state on request: each module contributes a section.
 */
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
  /** Collects all sections now. */
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
        ([name, section]) => [name, section()] as const,
      );
      return Object.fromEntries(entries);
    },
  };
}
