/**
 * Organisations whose clients use the deployment, identified by API keys.
 *
 * Only digests of keys are stored, so that no state dump, log line or error can
 * contain a key.
 */
import {createHash} from 'node:crypto';

/** An organisation of one version of the configuration. */
export interface Organisation {
  readonly name: string;
  /** Digests of its API keys, see `apiKeyDigest`. */
  readonly keyDigests: readonly string[];
  /**
   * Priority of its requests, compared before their routes; 0 is the highest.
   */
  readonly rank: number;
  /** `undefined` if there is no limit. */
  readonly quota: OrganisationQuota | undefined;
}

/**
 * Limit on the requests of one organisation that run across the whole fleet.
 */
export interface OrganisationQuota {
  readonly ratePerSecond: number;
  /** Requests that may run at once after an idle period. */
  readonly burstCount: number;
}

/** Lookup of the organisations of one configuration version. */
export interface OrganisationDirectory {
  /** Returns the organisation that an API key belongs to. */
  findByKey(key: string): Organisation | undefined;
  findByName(name: string): Organisation | undefined;
  readonly all: readonly Organisation[];
  /** Rank of the least important organisation. */
  readonly lowestRank: number;
}

/** SHA-256 of an API key, lower-case hex. */
export function apiKeyDigest(key: string): string {
  return createHash('sha256').update(key).digest('hex');
}

/**
 * Creates a directory. Each key belongs to the last organisation that lists it.
 */
export function createOrganisationDirectory(
  organisations: readonly Organisation[],
): OrganisationDirectory {
  const byDigest = new Map<string, Organisation>();
  const byName = new Map<string, Organisation>();
  let lowestRank = 0;
  for (const organisation of organisations) {
    byName.set(organisation.name, organisation);
    lowestRank = Math.max(lowestRank, organisation.rank);
    for (const digest of organisation.keyDigests) {
      byDigest.set(digest, organisation);
    }
  }
  return {
    findByKey: key => byDigest.get(apiKeyDigest(key)),
    findByName: name => byName.get(name),
    all: organisations,
    lowestRank,
  };
}

/** A key digest that several organisations list. */
export interface SharedKey {
  readonly digest: string;
  /** Indexes of two organisations that list it, the first one first. */
  readonly indexes: readonly [number, number];
}

/** Returns the keys that more than one organisation lists. */
export function findSharedKeys(
  organisations: readonly Pick<Organisation, 'keyDigests'>[],
): readonly SharedKey[] {
  const owners = new Map<string, number>();
  const shared: SharedKey[] = [];
  for (const [index, {keyDigests}] of organisations.entries()) {
    for (const digest of keyDigests) {
      const owner = owners.get(digest) ?? index;
      if (owner !== index) shared.push({digest, indexes: [owner, index]});
      owners.set(digest, owner);
    }
  }
  return shared;
}
