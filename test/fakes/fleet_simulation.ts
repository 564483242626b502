/**
 * A fleet of nodes without input and output: upstreams with slots, and beside
 * each a node that decides with the project's own modules. Clients enter at all
 * nodes; loads travel with answers only.
 */
import {LEVEL_WINDOW_MILLIS} from '../../src/process/admission/admission_level.js';
import {importanceOf} from '../../src/process/admission/importance.js';
import {downstreamCallCounts} from '../../src/process/admission/call_trees.js';
import {createAttemptHistory} from '../../src/process/retries/attempt_history.js';
import {createSeededRandom} from '../../src/emulator/seeded_random.js';
import {createEventClock} from './event_clock.js';
import type {
  SimulatedClients,
  SimulationOptions,
  SimulationResult,
} from './fleet_load.js';
import {
  addCounts,
  createRouteCounts,
  createServiceCounts,
} from './fleet_load.js';
import {createRetryGrant} from '../../src/process/retries/shared_retry_grant.js';
import {DEFAULT_RETRIES_COUNT} from '../../src/version/route_configuration.js';
import type {Placement} from '../../src/process/placement/placement.js';
import type {
  Call,
  CallResult,
  RootRequest,
  Run,
  StartResult,
} from './simulated_calls.js';
import {countUsefulRuns} from './simulated_calls.js';
import type {SimulatedNode} from './simulated_node.js';
import {createSimulatedNodes} from './simulated_node.js';

/** Time that a message takes from one node to another. */
const HOP_MILLIS = 1;

/** As the nodes do it. */
const WAIT_RATIO = 0.25;
const RETURN_EARLIEST_RATIO = 0.2;
const RETURN_LATEST_RATIO = 0.7;

/** Time in which an upstream rejects a request. */
const REJECT_MILLIS = 1;

/** Spread of the work of requests, as the sigma of a log-normal. */
const WORK_SIGMA = 0.5;

const SECOND_MILLIS = 1000;

/** Replays a load on a fleet that has just started. */
export function simulateFleet(options: SimulationOptions): SimulationResult {
  const clock = createEventClock();
  const {nowMillis} = clock;
  const random = createSeededRandom(options.seed);
  const routes = new Map(options.routes.map(route => [route.name, route]));
  const secondsCount = Math.ceil(options.durationMillis / SECOND_MILLIS);
  const outcomes = new Map(
    options.clients.map(({route}) => [route, createRouteCounts(secondsCount)]),
  );
  const runs = new Map(
    options.services.map(({name}) => [name, createServiceCounts(secondsCount)]),
  );
  let idsCount = 0;

  const secondOf = (millis: number): number =>
    Math.min(secondsCount - 1, Math.floor(millis / SECOND_MILLIS));

  const nodes = createSimulatedNodes(options.services, {
    nowMillis,
    random: random.next,
  });
  const nodeOf = new Map(nodes.map(node => [node.own.id, node]));

  const startWork = (node: SimulatedNode, call: Call): void => {
    const {root, route} = call;
    const startedMillis = nowMillis();
    const second = runs.get(node.own.service)![secondOf(startedMillis)]!;
    second.runCount += 1;
    const run: Run = {second, isServed: false};
    root.runs.push(run);
    const counts = new Map<string, number>();
    let isOver = false;
    const finish = (end: CallResult): void => {
      if (isOver) return;
      isOver = true;
      callOffDeadline();
      // What a caller cancels says nothing about the upstream's time.
      if (nowMillis() < call.deadlineMillis) {
        const heldMillis = nowMillis() - startedMillis;
        node.queue.release(heldMillis);
        const {usualMillis} = call;
        if (usualMillis) node.slowness.observe(heldMillis, usualMillis);
      } else {
        node.queue.releaseWithoutSample();
      }
      run.isServed = end === 'served';
      call.onEnd(end, counts);
    };
    const callOffDeadline = clock.schedule(
      call.deadlineMillis - startedMillis,
      () => {
        finish('failed');
      },
    );
    const callNext = (index: number): void => {
      const name = route.calls[index];
      if (isOver) return;
      if (name === undefined) {
        finish('served');
        return;
      }
      const next = routes.get(name)!;
      const deadlineMillis = Math.min(
        call.deadlineMillis,
        nowMillis() + next.timeoutMillis,
      );
      node.budget.recordRequest(new Map([[next.service, 1]]));
      attempt(node, {
        root,
        route: next,
        deadlineMillis,
        startByMillis: deadlineMillis,
        onEnd: (end, below) => {
          addCounts(counts, new Map([[next.service, 1]]));
          addCounts(counts, below);
          if (end === 'served') callNext(index + 1);
          else finish('failed');
        },
      });
    };
    const workMillis = random.logNormal(
      route.workMillis * Math.exp(-(WORK_SIGMA ** 2) / 2),
      WORK_SIGMA,
    );
    clock.schedule(workMillis / node.speed, () => {
      callNext(0);
    });
  };

  const execute = (
    node: SimulatedNode,
    call: Call,
    onVerdict: (verdict: StartResult) => void,
  ): void => {
    node.level.recordArrival(
      call.root.importance,
      node.queue.load().averageMillis,
    );
    node.rejections.recordArrival();
    const start = (): void => {
      if (random.next() < node.currentRejectRatio()) {
        clock.schedule(REJECT_MILLIS, () => {
          node.queue.releaseWithoutSample();
          node.rejections.recordRejected();
          onVerdict('rejected');
        });
        return;
      }
      onVerdict('started');
      startWork(node, call);
    };
    const slot = {
      importance: call.root.importance,
      beganAtMillis: call.root.beganAtMillis,
      startByMillis: Math.min(call.startByMillis, call.deadlineMillis - 8),
      start: () => {
        callOff();
        start();
      },
      expire: () => {
        callOff();
        onVerdict('too-late');
      },
    };
    let callOff: () => void = () => undefined;
    const verdict = node.queue.offer(slot);
    if (verdict === 'started') {
      start();
    } else if (verdict === 'refused') {
      onVerdict('queue-full');
    } else {
      callOff = clock.schedule(slot.startByMillis - nowMillis(), () => {
        if (node.queue.withdraw(slot)) onVerdict('too-late');
      });
    }
  };

  const attempt = (from: SimulatedNode, call: Call): void => {
    const history = createAttemptHistory();
    const charge = new Map([[call.route.service, 1]]);
    const offer = (): void => {
      const {name, service, objectiveMillis} = call.route;
      const offeredMillis = nowMillis();
      const usualMillis = from.attemptTimeouts.usualMillis(name);
      const choose = (): Placement | undefined =>
        from.placement.choose(service, history.excludedIds, () => false, {
          objectiveMillis,
          usualMillis,
        });
      const placement = history.canOffer
        ? (choose() ??
          (history.readmitRejectingUpstreams() ? choose() : undefined))
        : undefined;
      if (placement === undefined || nowMillis() >= call.deadlineMillis) {
        call.onEnd('refused', new Map());
        return;
      }
      const {id} = placement.upstream.entry;
      history.begin(id);
      const node = nodeOf.get(id)!;
      const isNear = node === from;
      const delayMillis = isNear ? 0 : HOP_MILLIS;
      const learn = (): void => {
        if (isNear) return;
        for (const load of node.loadsFor(from.own.id)) {
          from.loadTable.observe(load);
        }
      };
      const goOn = (verdict: StartResult): void => {
        learn();
        placement.end(verdict === 'rejected' ? 'failed' : 'neutral');
        history.end(verdict === 'rejected' ? 'rejected' : 'full');
        const {grant} = call.root;
        const mayOffer =
          verdict !== 'rejected' ||
          (grant.remaining() > 0 &&
            from.budget.tryTakePaced(charge) &&
            grant.trySpend());
        if (mayOffer) offer();
        else call.onEnd('refused', new Map());
      };
      clock.schedule(delayMillis, () => {
        execute(
          node,
          {
            ...call,
            usualMillis,
            onEnd: (end, calls) => {
              clock.schedule(delayMillis, () => {
                learn();
                if (end === 'served') {
                  from.attemptTimeouts.recordResponse(
                    name,
                    nowMillis() - offeredMillis,
                  );
                }
                placement.end(end === 'served' ? 'served' : 'neutral');
                call.onEnd(end, calls);
              });
            },
          },
          verdict => {
            if (verdict === 'started') return;
            clock.schedule(delayMillis, () => {
              goOn(verdict);
            });
          },
        );
      });
    };
    offer();
  };

  const enter = (
    clients: SimulatedClients,
    firstMillis: number,
    triesCount: number,
  ): void => {
    const node = nodes[Math.floor(random.next() * nodes.length)]!;
    const route = routes.get(clients.route)!;
    idsCount += 1;
    const id = `${options.seed}-${Math.imul(idsCount, 0x9e3779b1) >>> 0}`;
    const outcome = outcomes.get(route.name)![secondOf(firstMillis)]!;
    const root: RootRequest = {
      id,
      importance: importanceOf(route.rank, id),
      beganAtMillis: nowMillis(),
      grant: createRetryGrant(DEFAULT_RETRIES_COUNT),
      runs: [],
    };
    const refuse = (): void => {
      const leftMillis = firstMillis + clients.totalTimeoutMillis - nowMillis();
      const width = RETURN_LATEST_RATIO - RETURN_EARLIEST_RATIO;
      const wantedMillis =
        route.objectiveMillis * (RETURN_EARLIEST_RATIO + width * random.next());
      if (triesCount >= 2 || leftMillis <= 0) {
        outcome.refusedCount += 1;
        return;
      }
      clock.schedule(Math.min(wantedMillis, leftMillis / 3), () => {
        enter(clients, firstMillis, triesCount + 1);
      });
    };
    const tree = node.trees.callCountsOf(route.name);
    node.budget.recordRequest(new Map([[route.service, 1]]));
    const gated = {importance: root.importance, attemptId: id};
    const cause = node.entryAdmission.shedCause(gated, route.service, tree);
    if (cause !== undefined) {
      node.loadPoller.recordShed(cause.service);
      refuse();
      return;
    }
    node.budget.recordExpectedCalls(downstreamCallCounts(tree, route.service));
    attempt(node, {
      root,
      route,
      deadlineMillis: nowMillis() + route.timeoutMillis,
      startByMillis: nowMillis() + route.objectiveMillis * WAIT_RATIO,
      onEnd: (end, calls) => {
        if (end === 'served') {
          const counts = new Map(calls);
          addCounts(counts, new Map([[route.service, 1]]));
          node.trees.observe(route.name, counts);
          const millis = nowMillis() - firstMillis;
          if (millis <= route.objectiveMillis) outcome.inTimeCount += 1;
          else outcome.lateCount += 1;
          countUsefulRuns(root);
        } else if (root.runs.length === 0) {
          refuse();
        } else {
          node.trees.observeFailed(route.name, calls);
          outcome.failedCount += 1;
        }
      },
    });
  };

  /** Asks one node of each service whose loads are heard of no more. */
  const askLoads = (node: SimulatedNode): void => {
    for (const service of node.loadPoller.dueServices()) {
      const others = nodes.filter(
        other => other !== node && other.own.service === service,
      );
      const asked = others[Math.floor(random.next() * others.length)];
      if (asked === undefined) continue;
      clock.schedule(2 * HOP_MILLIS, () => {
        for (const load of asked.loads()) node.loadTable.observe(load);
      });
    }
  };

  for (const clients of options.clients) {
    const next = (): void => {
      if (nowMillis() >= options.durationMillis) return;
      outcomes.get(clients.route)![secondOf(nowMillis())]!.sentCount += 1;
      enter(clients, nowMillis(), 1);
      clock.schedule(
        random.exponential(SECOND_MILLIS / clients.perSecond),
        next,
      );
    };
    clock.schedule(random.exponential(SECOND_MILLIS / clients.perSecond), next);
  }
  nodes.forEach(node => {
    const tick = (): void => {
      node.updateLevel();
      askLoads(node);
      if (nowMillis() < options.durationMillis) {
        clock.schedule(LEVEL_WINDOW_MILLIS, tick);
      }
    };
    clock.schedule(LEVEL_WINDOW_MILLIS * random.next(), tick);
  });
  clock.runUntil(options.durationMillis + 3000);
  return {routes: outcomes, services: runs};
}
