// Faults that the soak test injects from outside the gateways. Each takes the
// environment of a run and returns a function that ends the fault.

/** Jump of a VM's wall clock, longer than a run. */
const CLOCK_JUMP_MS = 60_000;
/** Earliest cut of a request after SIGTERM; the grace period is 8 s. */
const MIN_GRACE_MS = 7_000;

function pick(items, random) {
  return items[Math.floor(random() * items.length)];
}

/** Picks an engine or a service that has neither crashed nor drained. */
function pickEndpoint(env) {
  const {platform, random} = env;
  const all = [...platform.engines, ...platform.services];
  return pick(
    all.filter(({id}) => !env.removedEngines.has(id)),
    random,
  );
}

function endpointFault(name, probability) {
  return env => {
    const target = pickEndpoint(env);
    target.faults[name] = probability;
    return () => {
      target.faults[name] = 0;
    };
  };
}

function storeFault(faults) {
  return ({platform}) => {
    const healthy = {mode: 'sound', delayMs: 0, lostAnswers: 0};
    Object.assign(platform.store.faults, faults);
    return () => Object.assign(platform.store.faults, healthy);
  };
}

function linkFault(begin, end) {
  return ({links, random}) => {
    const link = pick(links, random);
    begin(link);
    return () => end(link);
  };
}

/** Picks a gateway without a fault; undefined if it is the only one left. */
function pickHealthyGateway(env) {
  const healthy = env.slots.filter(slot => !slot.faulty);
  return healthy.length > 1 ? pick(healthy, env.random) : undefined;
}

function gatewayFault(begin, end) {
  return async env => {
    const slot = pickHealthyGateway(env);
    if (!slot) return () => undefined;
    slot.faulty = true;
    await begin(env, slot);
    return async () => {
      await end(env, slot);
      slot.faulty = false;
    };
  };
}

async function restart(env, slot, clockShiftMs = 0) {
  slot.gateway = await env.fleet.start(slot.index, {clockShiftMs});
}

/** Kills a gateway and restarts it with a shifted wall clock. */
function clockFault(clockShiftMs) {
  return gatewayFault(
    async (_env, slot) => {
      slot.gateway.kill('SIGKILL');
      await slot.gateway.exited;
    },
    (env, slot) => restart(env, slot, clockShiftMs),
  );
}

export const FAULTS = {
  engine_crash: env => {
    const [first, ...rest] = env.platform.engines.filter(
      ({id}) => !env.removedEngines.has(id),
    );
    if (rest.length < 3) return () => undefined;
    env.removedEngines.set(first.id, Date.now());
    void first.crash();
    return () => env.platform.addEngine();
  },
  engine_drain: env => {
    const [first, ...rest] = env.platform.engines.filter(
      ({id}) => !env.removedEngines.has(id),
    );
    if (rest.length < 3) return () => undefined;
    env.removedEngines.set(first.id, Date.now());
    env.drained.push({engine: first, atMs: Date.now()});
    first.drain();
    return () => env.platform.addEngine();
  },
  engine_slow: env => {
    const engine = pick(env.platform.engines, env.random);
    engine.setSlowness(4);
    return () => engine.setSlowness(1);
  },
  hang: endpointFault('hang', 0.5),
  cut: endpointFault('cut', 0.5),
  errors: endpointFault('errors', 0.5),
  extra: endpointFault('extra', 0.5),
  unframed: endpointFault('unframed', 0.5),
  store_silent: storeFault({mode: 'silent'}),
  store_busy: storeFault({mode: 'busy'}),
  store_slow: storeFault({delayMs: 400}),
  store_lost_answers: storeFault({lostAnswers: 0.5}),
  store_forgets: ({platform}) => {
    platform.store.log.forget('keyed.servers');
    return () => undefined;
  },
  link_cut: linkFault(
    link => link.setCut(true),
    link => link.setCut(false),
  ),
  link_reset: linkFault(
    link => link.reset(),
    () => undefined,
  ),
  link_slow: linkFault(
    link => link.setDelay(80),
    link => link.setDelay(0),
  ),
  link_silent: linkFault(
    link => link.setSilent('both'),
    link => {
      link.setSilent('none');
      link.reset();
    },
  ),
  link_silent_back: linkFault(
    link => link.setSilent('back'),
    link => {
      link.setSilent('none');
      link.reset();
    },
  ),
  gateway_kill: clockFault(0),
  gateway_stop: gatewayFault(
    (_env, slot) => {
      slot.stoppedMs = Date.now();
      slot.gateway.kill('SIGTERM');
    },
    async (env, slot) => {
      const {code} = await slot.gateway.exited;
      const tookMs = Date.now() - slot.stoppedMs;
      // A request without an answer is cut when the grace period ends.
      const cutEarly = code === 1 && tookMs < MIN_GRACE_MS;
      if (cutEarly || code > 1 || code === null) {
        env.reportViolation(
          `graceful stop: exit code ${code} after ${tookMs} ms`,
        );
      }
      await restart(env, slot);
    },
  ),
  gateway_pause: gatewayFault(
    (_env, slot) => slot.gateway.kill('SIGSTOP'),
    (_env, slot) => slot.gateway.kill('SIGCONT'),
  ),
  settings: ({slots, random}) => {
    pick(slots, random).gateway.kill('SIGHUP');
    return () => undefined;
  },
  configuration: ({platform}) => {
    platform.publish();
    return () => undefined;
  },
  // Append new kinds here: plans of older seeds depend on the order.
  clock_back: clockFault(-CLOCK_JUMP_MS),
  clock_ahead: clockFault(CLOCK_JUMP_MS),
};
