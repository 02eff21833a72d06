import type {VirtualEngine} from './virtual_engine.js';
import {
  createVirtualFleet,
  type VirtualFleet,
  type VirtualFleetOptions,
} from './virtual_fleet.js';
import type {VirtualRouter} from './virtual_router.js';

/** After a partition, a running router may look dead for this long. */
const RECOVERY_MS = 20_000;
const MAX_FALSE_DEATH_MS = 15_000;
const MAX_LEAVING_MS = 5_000;

/** A fleet whose safety properties are checked while it runs. */
export interface ObservedFleet {
  fleet: VirtualFleet;
  violations: string[];
  /** Starts the leave of an engine; only `reader` can read its reports. */
  leave(engine: VirtualEngine, reader: VirtualRouter): void;
  /** Runs in steps of a second and checks the membership after each. */
  run(ms: number): void;
  /** Runs until a condition holds; false if it did not in time. */
  runUntil(holds: () => boolean, limitMs: number): boolean;
  /** Whether every running router lists exactly the running ones as alive. */
  membershipConverged(): boolean;
  /** Number of engine sessions that no running router uses. */
  orphanCount(): number;
}

/** Creates a fleet and its checks. */
export function createObservedFleet(
  options: VirtualFleetOptions,
): ObservedFleet {
  const violations: string[] = [];
  const fleet = createVirtualFleet({...options, onAttempt, onRelease});
  const {clock, network, routers, engines} = fleet;
  const leavings = new Map<
    VirtualEngine,
    {reader: VirtualRouter; incarnation: number; sinceMs: number}
  >();
  const missingMs = new Map<string, number>();

  /** Whether a router ran and reached an address throughout the last `ms`. */
  function isStable(router: VirtualRouter, address: string, ms: number) {
    return (
      router.running &&
      !router.paused &&
      network.connected(router.address, address) &&
      clock.nowMs() - ms >=
        Math.max(
          router.stableSinceMs,
          network.connectedSinceMs(router.address, address),
        )
    );
  }

  function onAttempt(router: VirtualRouter, engine: VirtualEngine): void {
    const leaving = leavings.get(engine);
    if (
      !leaving ||
      !engine.leaving ||
      clock.nowMs() - leaving.sinceMs < MAX_LEAVING_MS
    )
      return;
    const {reader} = leaving;
    // A restarted router has lost the report that only it could read.
    const linked =
      reader.incarnation === leaving.incarnation &&
      isStable(router, reader.address, RECOVERY_MS) &&
      isStable(reader, router.address, RECOVERY_MS);
    if (linked) {
      violations.push(`${router.address} sent work to leaving ${engine.name}`);
    }
  }

  function isUsed(engine: VirtualEngine, owner: string, reqId: string) {
    return routers.some(
      router =>
        router.running &&
        owner === `${router.address}#${router.incarnation}` &&
        router.attempts.get(reqId) === engine.name,
    );
  }

  /** To its peers, a router that most cannot reach is like a dead one. */
  function isReachable(router: VirtualRouter): boolean {
    const others = routers.filter(r => r.running && r !== router);
    const linked = others.filter(
      other =>
        isStable(router, other.address, RECOVERY_MS) &&
        isStable(other, router.address, RECOVERY_MS),
    );
    return linked.length * 2 >= others.length;
  }

  function onRelease(
    router: VirtualRouter,
    engine: VirtualEngine,
    id: string,
  ): void {
    const {owner, reqId} = engine.sessions.get(id)!;
    const holder = routers.find(r => owner.startsWith(`${r.address}#`))!;
    const inUse =
      isUsed(engine, owner, reqId) &&
      isStable(holder, engine.address, RECOVERY_MS) &&
      (holder === router || isReachable(holder));
    if (inUse) violations.push(`${router.address} released ${id} of ${owner}`);
  }

  function checkMembership(): void {
    for (const a of routers) {
      for (const b of routers) {
        const key = `${a.address}>${b.address}`;
        const missing =
          isStable(a, b.address, RECOVERY_MS) &&
          isStable(b, a.address, RECOVERY_MS) &&
          !a.alive.has(b.address);
        if (!missing) missingMs.delete(key);
        const sinceMs = missingMs.get(key) ?? clock.nowMs();
        if (missing) missingMs.set(key, sinceMs);
        if (missing && clock.nowMs() - sinceMs > MAX_FALSE_DEATH_MS) {
          violations.push(`${key}: running member stays dead`);
          missingMs.delete(key);
        }
      }
    }
  }

  function run(ms: number): void {
    const endMs = clock.nowMs() + ms;
    while (clock.nowMs() < endMs) {
      clock.runTo(Math.min(endMs, clock.nowMs() + 1_000));
      checkMembership();
    }
  }

  function runUntil(holds: () => boolean, limitMs: number): boolean {
    const endMs = clock.nowMs() + limitMs;
    while (!holds()) {
      if (clock.nowMs() >= endMs) return false;
      run(1_000);
    }
    return true;
  }

  function membershipConverged(): boolean {
    const running = routers.filter(r => r.running).map(r => r.address);
    return routers.every(
      router =>
        !router.running ||
        (router.alive.size === running.length &&
          running.every(address => router.alive.has(address))),
    );
  }

  function orphanCount(): number {
    return engines
      .flatMap(engine => [...engine.sessions.values()].map(s => ({engine, s})))
      .filter(({engine, s}) => !isUsed(engine, s.owner, s.reqId)).length;
  }

  return {
    fleet,
    violations,
    leave: (engine, reader) => {
      if (engine.leaving) return;
      leavings.delete(engine);
      engine.leaving = true;
      engine.reportsOnlyTo = reader.address;
      fleet.network.send(engine.address, reader.address, () => {
        if (!reader.running || reader.paused || !engine.leaving) return;
        reader.feed(engine.report());
        const {incarnation} = reader;
        leavings.set(engine, {reader, incarnation, sinceMs: clock.nowMs()});
      });
    },
    run,
    runUntil,
    membershipConverged,
    orphanCount,
  };
}
