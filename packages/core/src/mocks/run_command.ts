import type {FleetCommand} from './fleet_command.js';
import type {ObservedFleet} from './fleet_observer.js';
import type {VirtualRouter} from './virtual_router.js';

/** Carries out one command of a schedule, then runs for its wait time. */
export function runCommand(observed: ObservedFleet, cmd: FleetCommand): void {
  const {fleet} = observed;
  const router = fleet.routers[cmd.index % fleet.routers.length]!;
  const engine = fleet.engines[cmd.index % fleet.engines.length]!;
  const domain = `domain-${cmd.index % 3}`;
  const domainOf = (address: string) =>
    fleet.routers.find(r => r.address === address)?.failureDomain ??
    address.split('/')[0]!;
  const inDomain = (address: string) => domainOf(address) === domain;
  const isRouter = (address: string) => address === router.address;
  const isPeer = (address: string) => !address.includes('/');
  switch (cmd.kind) {
    case 'crash':
      router.crash();
      break;
    case 'start':
      if (!router.running) fleet.start(router);
      break;
    case 'restart':
      router.crash();
      fleet.start(router);
      break;
    case 'pause':
      pause(observed, router, cmd.amount * 40);
      break;
    case 'cut_off_domain':
      fleet.network.setPartition((a, b) => inDomain(a) !== inDomain(b));
      break;
    case 'cut_domain_pair':
      fleet.network.setPartition((a, b) => {
        const domains = [domainOf(a), domainOf(b)];
        return domains[0] !== domains[1] && !domains.includes(domain);
      });
      break;
    case 'cut_off_router':
      fleet.network.setPartition((a, b) => isRouter(a) !== isRouter(b));
      break;
    case 'cut_off_from_peers':
      fleet.network.setPartition(
        (a, b) => isRouter(a) !== isRouter(b) && isPeer(a) && isPeer(b),
      );
      break;
    case 'join':
      fleet.network.setPartition(() => false);
      break;
    case 'loss':
      fleet.network.loss = cmd.amount / 5_000;
      break;
    case 'request':
      fleet.request(router);
      break;
    case 'cancel':
      fleet.cancel(router);
      break;
    case 'leave':
      observed.leave(engine, router);
      break;
    case 'restart_engine':
      engine.restart();
      break;
  }
  observed.run(cmd.waitMs);
}

function pause(
  observed: ObservedFleet,
  router: VirtualRouter,
  ms: number,
): void {
  const {clock} = observed.fleet;
  if (!router.running || router.paused) return;
  const {incarnation} = router;
  router.pause();
  clock.at(clock.nowMs() + ms, () => {
    if (router.paused && router.incarnation === incarnation) router.resume();
  });
}

/**
 * Ends every fault, but crashed routers stay down if two others are running: a
 * router without peers cannot detect whether the others are dead.
 */
export function endFaults(observed: ObservedFleet): void {
  const {fleet} = observed;
  fleet.network.loss = 0;
  fleet.network.setPartition(() => false);
  for (const router of fleet.routers) if (router.paused) router.resume();
  for (const engine of fleet.engines) if (engine.leaving) engine.restart();
  for (const router of fleet.routers) {
    const running = fleet.routers.filter(({running}) => running).length;
    if (!router.running && running < 2) fleet.start(router);
  }
}
