import type {VirtualEngine} from './virtual_engine.js';
import {
  createVirtualFleet,
  type VirtualFleet,
  type VirtualFleetOptions,
} from './virtual_fleet.js';
import type {VirtualRouter} from './virtual_router.js';

/** A living owner may look dead for this long after it was cut off. */
const RECOVERY_MS = 20_000;
const MAX_FALSE_DEATH_MS = 15_000;
const MAX_LEAVING_MS = 5_000;

/** A fleet whose safety properties are checked while it runs. */
export interface ObservedFleet {
  fleet: VirtualFleet;
  violations: string[];
  /** An engine starts to leave and only one router can read that. */
  leave(engine: VirtualEngine, knower: VirtualRouter): void;
  /** Runs on in steps of a second and looks at the members in each. */
  run(ms: number): void;
  /** Runs until a condition holds; false if it did not in time. */
  runUntil(holds: () => boolean, limitMs: number): boolean;
  /** Whether every running router has exactly the running ones as alive. */
  membershipConverged(): boolean;
  /** Sessions of engines that no running router uses. */
  orphanCount(): number;
}

/** Creates a fleet together with its checks. */
export function createObservedFleet(
  options: VirtualFleetOptions,
): ObservedFleet {
  const violations: string[] = [];
  const fleet = createVirtualFleet({...options, onAttempt, onRelease});
  const {clock, network, routers, engines} = fleet;
  const leavings = new Map<
    VirtualEngine,
    {knower: VirtualRouter; incarnation: number; sinceMs: number}
  >();
  const missingMs = new Map<string, number>();

  function undisturbed(router: VirtualRouter, place: string, ms: number) {
    return (
      router.running &&
      !router.paused &&
      network.connected(router.address, place) &&
      clock.nowMs() - ms >=
        Math.max(
          router.steadySinceMs,
          network.connectedSinceMs(router.address, place),
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
    const {knower} = leaving;
    // A restart makes the router forget what only it could read.
    const linked =
      knower.incarnation === leaving.incarnation &&
      undisturbed(router, knower.address, RECOVERY_MS) &&
      undisturbed(knower, router.address, RECOVERY_MS);
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

  /** A router that most others cannot reach cannot be told from a dead one. */
  function inContact(router: VirtualRouter): boolean {
    const others = routers.filter(r => r.running && r !== router);
    const linked = others.filter(
      other =>
        undisturbed(router, other.address, RECOVERY_MS) &&
        undisturbed(other, router.address, RECOVERY_MS),
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
    const living =
      isUsed(engine, owner, reqId) &&
      undisturbed(holder, engine.place, RECOVERY_MS) &&
      (holder === router || inContact(holder));
    if (living) violations.push(`${router.address} released ${id} of ${owner}`);
  }

  function checkMembers(): void {
    for (const a of routers) {
      for (const b of routers) {
        const key = `${a.address}>${b.address}`;
        const missing =
          undisturbed(a, b.address, RECOVERY_MS) &&
          undisturbed(b, a.address, RECOVERY_MS) &&
          !a.alive.has(b.address);
        if (!missing) missingMs.delete(key);
        const sinceMs = missingMs.get(key) ?? clock.nowMs();
        if (missing) missingMs.set(key, sinceMs);
        if (missing && clock.nowMs() - sinceMs > MAX_FALSE_DEATH_MS) {
          violations.push(`${key}: living member stays dead`);
          missingMs.delete(key);
        }
      }
    }
  }

  function run(ms: number): void {
    const endMs = clock.nowMs() + ms;
    while (clock.nowMs() < endMs) {
      clock.runTo(Math.min(endMs, clock.nowMs() + 1_000));
      checkMembers();
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
    leave: (engine, knower) => {
      if (engine.leaving) return;
      leavings.delete(engine);
      engine.leaving = true;
      engine.reportsOnlyTo = knower.address;
      fleet.network.send(engine.place, knower.address, () => {
        if (!knower.running || knower.paused || !engine.leaving) return;
        knower.feed(engine.report());
        const {incarnation} = knower;
        leavings.set(engine, {knower, incarnation, sinceMs: clock.nowMs()});
      });
    },
    run,
    runUntil,
    membershipConverged,
    orphanCount,
  };
}
