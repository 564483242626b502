/**
 * Simulates a fleet in memory: upstreams with slots, each with a node that uses the
 * admission, placement and retry modules of the daemon. Clients send requests to all
 * nodes; nodes receive load reports with responses and by polling only.
 */
import {shedPositionOf} from '../../src/process/admission/importance.js';
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
import type {Placement} from '../../src/process/placement/placement.js';
import type {Call, CallResult, Run, StartResult} from './simulated_calls.js';
import {
  countUsefulRuns,
  createRootRequest,
  sampleRetryDelayMillis,
  sampleWorkMillis,
} from './simulated_calls.js';
import type {SimulatedNode} from './simulated_node.js';
import {createSimulatedNodes} from './simulated_node.js';
import {HOP_MILLIS, startNodeTicks} from './simulated_ticks.js';

/**
 * Ratio of the latency objective for which a request may wait in the queue, as in the
 * daemon.
 */
const QUEUE_WAIT_RATIO = 0.25;

/** Time until an upstream rejects a request. */
const REJECT_MILLIS = 1;

const SECOND_MILLIS = 1000;

/** Simulates a load on a fleet that has just started. */
export function simulateFleet(options: SimulationOptions): SimulationResult {
  const clock = createEventClock();
  const {nowMillis} = clock;
  const random = createSeededRandom(options.seed);
  const routes = new Map(options.routes.map(route => [route.name, route]));
  const secondsCount = Math.ceil(options.durationMillis / SECOND_MILLIS);
  const routeCounts = new Map(
    options.clients.map(({route}) => [route, createRouteCounts(secondsCount)]),
  );
  const serviceCounts = new Map(
    options.services.map(({name}) => [name, createServiceCounts(secondsCount)]),
  );
  let requestsCount = 0;

  const secondIndexOf = (millis: number): number =>
    Math.min(secondsCount - 1, Math.floor(millis / SECOND_MILLIS));

  const nodes = createSimulatedNodes(options.services, {
    nowMillis,
    random: random.next,
    schedule: clock.schedule,
    messageMillis: options.messageMillis ?? 0,
  });
  const arrivalMillis = new Map(
    nodes.map(({own}) => [own.id, [] as number[]] as const),
  );
  const nodesById = new Map(nodes.map(node => [node.own.id, node]));

  /** Handles a message at a node when it has arrived and the processor is free. */
  const deliver = (
    node: SimulatedNode,
    delayMillis: number,
    handler: () => void,
  ): void => {
    clock.schedule(delayMillis, () => {
      node.processor.handle(handler);
    });
  };

  const startWork = (node: SimulatedNode, call: Call): void => {
    const {root, route} = call;
    const startedMillis = nowMillis();
    const second = serviceCounts.get(node.own.service)![
      secondIndexOf(startedMillis)
    ]!;
    second.runCount += 1;
    const run: Run = {second, isServed: false};
    root.runs.push(run);
    const counts = new Map<string, number>();
    let isOver = false;
    const finish = (end: CallResult): void => {
      if (isOver) return;
      isOver = true;
      cancelDeadlineTimer();
      node.recordResponse(startedMillis);
      // The time until a caller cancels is no sample of the upstream's response time.
      if (nowMillis() < call.deadlineMillis) {
        const runMillis = nowMillis() - startedMillis;
        node.queue.release(runMillis);
        const {usualMillis} = call;
        if (usualMillis) node.slowness.observe(runMillis, usualMillis);
      } else {
        node.queue.releaseWithoutSample();
      }
      run.isServed = end === 'served';
      call.onEnd(end, counts);
    };
    const cancelDeadlineTimer = clock.schedule(
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
        onEnd: (end, nestedCounts) => {
          addCounts(counts, new Map([[next.service, 1]]));
          addCounts(counts, nestedCounts);
          if (end !== 'served') {
            finish('failed');
            return;
          }
          node.processor.handle(() => {
            callNext(index + 1);
          });
        },
      });
    };
    deliver(node, sampleWorkMillis(random, route) / node.speed, () => {
      callNext(0);
    });
  };

  const execute = (
    node: SimulatedNode,
    call: Call,
    onStartResult: (startResult: StartResult) => void,
  ): void => {
    node.level.recordArrival(
      shedPositionOf(call.root.importance),
      node.queue.load().averageMillis,
    );
    node.rejections.recordArrival();
    const start = (): void => {
      arrivalMillis.get(node.own.id)!.push(nowMillis());
      if (random.next() < node.currentRejectRatio()) {
        const sentMillis = nowMillis();
        clock.schedule(REJECT_MILLIS, () => {
          node.recordResponse(sentMillis);
          node.queue.releaseWithoutSample();
          node.rejections.recordRejected();
          onStartResult('rejected');
        });
        return;
      }
      onStartResult('started');
      startWork(node, call);
    };
    const slot = {
      importance: call.root.importance,
      beganAtMillis: call.root.beganAtMillis,
      startByMillis: Math.min(call.startByMillis, call.deadlineMillis - 8),
      start: () => {
        cancelTimer();
        start();
      },
      expire: () => {
        cancelTimer();
        onStartResult('too-late');
      },
    };
    let cancelTimer: () => void = () => undefined;
    const startResult = node.queue.offer(slot);
    if (startResult === 'started') {
      start();
    } else if (startResult !== 'queued') {
      onStartResult('queue-full');
    } else {
      cancelTimer = clock.schedule(slot.startByMillis - nowMillis(), () => {
        if (node.queue.withdraw(slot)) onStartResult('too-late');
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
      const node = nodesById.get(id)!;
      const isLocalNode = node === from;
      const delayMillis = isLocalNode ? 0 : HOP_MILLIS;
      const observeLoads = (): void => {
        if (isLocalNode) return;
        for (const load of node.loadsFor(from.own.id)) {
          from.loadTable.observe(load);
        }
      };
      const handleNotStarted = (startResult: StartResult): void => {
        observeLoads();
        placement.end(startResult === 'rejected' ? 'failed' : 'neutral');
        history.end(startResult === 'rejected' ? 'rejected' : 'full');
        const {grant} = call.root;
        const mayRetry =
          startResult !== 'rejected' ||
          (grant.remaining() > 0 &&
            from.budget.tryTakePaced(charge) &&
            grant.trySpend());
        if (mayRetry) offer();
        else call.onEnd('refused', new Map());
      };
      deliver(node, delayMillis, () => {
        execute(
          node,
          {
            ...call,
            usualMillis,
            onEnd: (end, calls) => {
              deliver(from, delayMillis, () => {
                observeLoads();
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
          startResult => {
            if (startResult === 'started') return;
            deliver(from, delayMillis, () => {
              handleNotStarted(startResult);
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
    attemptsCount: number,
  ): void => {
    const node = nodes[Math.floor(random.next() * nodes.length)]!;
    node.processor.handle(() => {
      enterAt(node, clients, firstMillis, attemptsCount);
    });
  };

  const enterAt = (
    node: SimulatedNode,
    clients: SimulatedClients,
    firstMillis: number,
    attemptsCount: number,
  ): void => {
    const route = routes.get(clients.route)!;
    requestsCount += 1;
    const id = `${options.seed}-${Math.imul(requestsCount, 0x9e3779b1) >>> 0}`;
    const secondCounts = routeCounts.get(route.name)![
      secondIndexOf(firstMillis)
    ]!;
    const root = createRootRequest(id, route, nowMillis());
    const handleRefused = (): void => {
      const leftMillis = firstMillis + clients.totalTimeoutMillis - nowMillis();
      const delayMillis = sampleRetryDelayMillis(random, route);
      if (attemptsCount >= 2 || leftMillis <= 0) {
        secondCounts.refusedCount += 1;
        return;
      }
      clock.schedule(Math.min(delayMillis, leftMillis / 3), () => {
        enter(clients, firstMillis, attemptsCount + 1);
      });
    };
    const target = {routeName: route.name, service: route.service};
    const tree = node.trees.callCountsOf(target);
    node.budget.recordRequest(new Map([[route.service, 1]]));
    const request = {importance: root.importance, attemptId: id};
    const cause = node.entryAdmission.shedCause(request, route.service, tree);
    if (cause !== undefined) node.loadPoller.recordShed(cause.service);
    const {completionThrottle} = node;
    if (cause ?? !completionThrottle.admits(route.name, root.importance)) {
      handleRefused();
      return;
    }
    node.budget.recordExpectedCalls(downstreamCallCounts(tree, route.service));
    attempt(node, {
      root,
      route,
      deadlineMillis: nowMillis() + route.timeoutMillis,
      startByMillis: nowMillis() + route.objectiveMillis * QUEUE_WAIT_RATIO,
      onEnd: (end, calls) => {
        if (end === 'served' || calls.size > 0) {
          node.completionThrottle.recordEnd(route.name, end === 'served');
        }
        if (end === 'served') {
          const counts = new Map(calls);
          addCounts(counts, new Map([[route.service, 1]]));
          node.trees.observe(target, counts);
          const millis = nowMillis() - firstMillis;
          if (millis <= route.objectiveMillis) secondCounts.inTimeCount += 1;
          else secondCounts.lateCount += 1;
          countUsefulRuns(root);
        } else if (root.runs.length === 0) {
          handleRefused();
        } else {
          node.trees.observeFailed(target, calls);
          secondCounts.failedCount += 1;
        }
      },
    });
  };

  for (const clients of options.clients) {
    const next = (): void => {
      if (nowMillis() >= options.durationMillis) return;
      routeCounts.get(clients.route)![secondIndexOf(nowMillis())]!.sentCount +=
        1;
      enter(clients, nowMillis(), 1);
      clock.schedule(
        random.exponential(SECOND_MILLIS / clients.perSecond),
        next,
      );
    };
    clock.schedule(random.exponential(SECOND_MILLIS / clients.perSecond), next);
  }
  startNodeTicks(nodes, {
    clock,
    random: random.next,
    durationMillis: options.durationMillis,
  });
  clock.runUntil(options.durationMillis + 3000);
  return {routes: routeCounts, services: serviceCounts, arrivalMillis};
}
