/**
 * Home hosts of keys under the newest policy and host list that are held.
 */
import type {FleetView} from './fleet_view.js';
import {KeyDirectory} from './key_records.js';
import type {KeyView, KeyViewOwner} from './key_view.js';
import {createKeyView} from './key_view.js';
import type {PolicyStore} from './policy_store.js';

/** A directory that also offers the view it answers from. */
export abstract class ViewedKeyDirectory extends KeyDirectory {
  /** The newest view; undefined until a policy and a list are held. */
  abstract currentView(): KeyView | undefined;
}

/** What a directory reads. */
export interface KeyDirectoryOptions {
  readonly owner: KeyViewOwner;
  readonly policies: PolicyStore;
  readonly fleet: FleetView;
}

/** Creates a directory that rebuilds its view when a version changes. */
export function createKeyDirectory(
  options: KeyDirectoryOptions,
): ViewedKeyDirectory {
  let view: KeyView | undefined;
  return new (class extends ViewedKeyDirectory {
    override currentView(): KeyView | undefined {
      const policy = options.policies.newest()?.policy;
      const list = options.fleet.list();
      if (policy === undefined || list === undefined) return undefined;
      const isCurrent =
        view?.policyVersion === policy.version &&
        view.listRevision === list.revision;
      if (!isCurrent) {
        view = createKeyView(policy, list, options.owner);
      }
      return view;
    }

    override homeOf(key: string, service: string): string | undefined {
      return this.currentView()?.homeOf(key, service);
    }
  })();
}
