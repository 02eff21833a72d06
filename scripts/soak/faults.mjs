// Faults that the soak injects from outside the gateways. Each takes the
// environment of a run and returns what ends it.

/** Jump of a VM's time of day, longer than a run. */
const CLOCK_JUMP_MS = 60_000;
/** Requests are not cut sooner after SIGTERM; the grace period is 8 s. */
const LEAST_GRACE_MS = 7_000;

function pick(items, random) {
  return items[Math.floor(random() * items.length)];
}

/** One of the engines or services that still run. */
function endpoint(env) {
  const {platform, random} = env;
  const all = [...platform.engines, ...platform.services];
  return pick(
    all.filter(({id}) => !env.gone.has(id)),
    random,
  );
}

function endpointFault(name, share) {
  return env => {
    const target = endpoint(env);
    target.faults[name] = share;
    return () => {
      target.faults[name] = 0;
    };
  };
}

function storeFault(over) {
  return ({platform}) => {
    const sound = {mode: 'sound', delayMs: 0, lostAnswers: 0};
    Object.assign(platform.store.faults, over);
    return () => Object.assign(platform.store.faults, sound);
  };
}

function linkFault(begin, end) {
  return ({links, random}) => {
    const link = pick(links, random);
    begin(link);
    return () => end(link);
  };
}

/** A gateway that no other fault has stopped; undefined if few are left. */
function spareGateway(env) {
  const free = env.slots.filter(slot => !slot.faulty);
  return free.length > 1 ? pick(free, env.random) : undefined;
}

function gatewayFault(begin, end) {
  return async env => {
    const slot = spareGateway(env);
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

/** A gateway that starts anew after its time of day has jumped. */
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
      ({id}) => !env.gone.has(id),
    );
    if (rest.length < 3) return () => undefined;
    env.gone.set(first.id, Date.now());
    void first.crash();
    return () => env.platform.addEngine();
  },
  engine_drain: env => {
    const [first, ...rest] = env.platform.engines.filter(
      ({id}) => !env.gone.has(id),
    );
    if (rest.length < 3) return () => undefined;
    env.gone.set(first.id, Date.now());
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
      // What an endpoint does not answer is cut at the end of the grace period.
      const cutEarly = code === 1 && tookMs < LEAST_GRACE_MS;
      if (cutEarly || code > 1 || code === null) {
        env.broken(`graceful stop ended with ${code} after ${tookMs} ms`);
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
  // New kinds follow, so that older seeds keep their plans.
  clock_back: clockFault(-CLOCK_JUMP_MS),
  clock_ahead: clockFault(CLOCK_JUMP_MS),
};
