/**
 * The better of two hosts drawn at random.
 */
import type {TimeSource} from '../base/time_source.js';
import type {KnownHost} from './fleet_view.js';
import type {HostRecord} from './host_scores.js';
import {loadScore, warmShareRatio} from './host_scores.js';

/** A host that may get an attempt. */
export interface Candidate {
  readonly known: KnownHost;
  readonly record: HostRecord;
}

/** What the choice needs. */
export interface TwoChoicesOptions {
  /** Name of the host this node runs on. */
  readonly hostName: string;
  readonly time: TimeSource;
  /** Uniform in [0, 1). */
  readonly random: () => number;
}

/** Chooses among candidates, of which there is at least one. */
export interface TwoChoices {
  readonly pick: (
    candidates: readonly Candidate[],
    slowStartMillis: number,
  ) => Candidate;
}

/** Draws for one of the two hosts before a cold one is taken anyway. */
const MAX_DRAWS_COUNT = 4;

/** Limit assumed of hosts when none of the compared ones has reported. */
const UNKNOWN_LIMIT_COUNT = 1;

/** Creates a choice by load. */
export function createTwoChoices(options: TwoChoicesOptions): TwoChoices {
  const {hostName, time, random} = options;

  /** Draws one host; cold ones in proportion to the traffic they may get. */
  function draw(
    candidates: readonly Candidate[],
    slowStartMillis: number,
  ): Candidate {
    for (let count = 1; ; count += 1) {
      const index = Math.floor(random() * candidates.length);
      const candidate = candidates[index] as Candidate;
      if (count >= MAX_DRAWS_COUNT) return candidate;
      const share = warmShareRatio(candidate.known, slowStartMillis, time);
      if (random() < share) return candidate;
    }
  }

  function better(
    first: Candidate,
    second: Candidate,
    slowStartMillis: number,
  ): Candidate {
    const nowMillis = time.monotonicMillis();
    const fallbackLimitCount =
      first.record.load?.limitCount ??
      second.record.load?.limitCount ??
      UNKNOWN_LIMIT_COUNT;
    const [firstScore, secondScore] = [first, second].map(
      ({known, record}) =>
        loadScore(record, fallbackLimitCount, nowMillis) /
        warmShareRatio(known, slowStartMillis, time),
    ) as [number, number];
    return secondScore < firstScore ? second : first;
  }

  return {
    pick: (candidates, slowStartMillis) => {
      // The own host, once warm, is always compared: at equal load it saves a
      // hop.
      const own = candidates.find(({known}) => known.host.name === hostName);
      const isOwnWarm =
        own !== undefined &&
        warmShareRatio(own.known, slowStartMillis, time) >= 1;
      const first = isOwnWarm ? own : draw(candidates, slowStartMillis);
      const others = candidates.filter(candidate => candidate !== first);
      if (others.length === 0) return first;
      return better(first, draw(others, slowStartMillis), slowStartMillis);
    },
  };
}
