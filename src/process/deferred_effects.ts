/**
 * Changes of state with consequences that run only once the change is whole.
 */

/** Runs changes and, after the outermost one, what they deferred. */
export interface DeferredEffects {
  /** Runs a change; it may be called from within another change. */
  readonly change: (action: () => void) => void;
  /** Puts off a call into other code until the change is whole. */
  readonly defer: (consequence: () => void) => void;
}

/** Creates an empty sequence of consequences. */
export function createDeferredEffects(): DeferredEffects {
  const consequences: (() => void)[] = [];
  let isChanging = false;

  function runConsequences(): void {
    for (;;) {
      const consequence = consequences.shift();
      if (consequence === undefined) return;
      consequence();
    }
  }

  return {
    change: action => {
      if (isChanging) {
        action();
        return;
      }
      isChanging = true;
      try {
        action();
        runConsequences();
      } finally {
        isChanging = false;
      }
    },
    defer: consequence => {
      consequences.push(consequence);
    },
  };
}
