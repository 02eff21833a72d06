// Stand-in of a model engine or a plain service, as the pages describe them.
import {Buffer} from 'node:buffer';
import {createServer} from 'node:http';
import {clearInterval, setInterval, setTimeout} from 'node:timers';

const EVENT_TOKENS = 51;
const EVENT_GAP_MS = 45;
const READ_TOKENS_PER_MS = 177;
const CALL_MS = 60;

/**
 * Starts an engine and registers it with the store.
 * @param options.model whether it answers with a stream of events
 * @param options.before called with each request; true if it was handled
 */
export async function startEngine(options) {
  const {store, id, ip, zone, service, slots, heartbeatMs} = options;
  const engine = {
    id,
    /** Requests that arrived here, with their times. */
    arrivals: [],
    running: false,
    state: 'ready',
  };
  const sockets = new Set();
  let server;
  let port = 0;
  let born = 0;
  let sequence = 0;
  let timer;

  function beat() {
    sequence += 1;
    store.heartbeat(id, {
      service,
      address: `${ip}:${port}`,
      zone,
      version: 'v1',
      slots,
      state: engine.state,
      coldRemainingMs: 0,
      phase: 'prefill_decode',
      models: [{name: 'm', version: 1, adapters: []}],
      sequence,
      born,
    });
  }

  async function handle(req, res) {
    const body = [];
    for await (const part of req) body.push(part);
    const {headers} = req;
    const attemptId = headers['attempt-id'] ?? '';
    if (req.url === '/order') {
      return options.order?.(engine, JSON.parse(Buffer.concat(body)), res);
    }
    const arrival = {
      atMs: Date.now(),
      attemptId,
      headers,
    };
    engine.arrivals.push(arrival);
    if (headers['expected-instance'] !== id) {
      res.writeHead(421, {'attempt-id': attemptId, 'instance-id': id});
      return void res.end();
    }
    if (options.before?.(engine, arrival, res)) return;
    if (options.model) return stream(arrival, res);
    await pause(CALL_MS);
    if (res.destroyed) return;
    const answer = Buffer.alloc(800, `${attemptId} `);
    res.writeHead(200, {
      'attempt-id': attemptId,
      'response-signature': `sig.${attemptId}`,
      'content-length': answer.length,
    });
    res.end(answer);
  }

  async function stream(arrival, res) {
    const {attemptId, headers} = arrival;
    const [prompt, output] = headers['token-usage'].split(',').map(Number);
    const last = Math.max(1, Math.ceil(output / EVENT_TOKENS));
    const after = Number(headers['last-event-id'] ?? 0);
    await pause(prompt / READ_TOKENS_PER_MS);
    if (res.destroyed) return;
    if (options.beforeAnswer?.(engine, arrival, res)) return;
    res.writeHead(200, {
      'attempt-id': attemptId,
      'response-signature': `sig.${attemptId}`,
      'content-type': 'text/event-stream',
    });
    for (let event = after + 1; event <= last; event++) {
      res.write(`id: ${event}\ndata: ${attemptId} ${event}\n\n`);
      await pause(EVENT_GAP_MS);
      if (res.destroyed) return;
    }
    res.end();
  }

  /** Begins a life of the engine, under the id that it had. */
  engine.start = async () => {
    server = createServer((req, res) => {
      handle(req, res).catch(() => res.destroy());
    });
    server.keepAliveTimeout = 15_000;
    server.on('connection', socket => {
      sockets.add(socket);
      socket.on('close', () => sockets.delete(socket));
    });
    await new Promise(resolve => server.listen(port, ip, resolve));
    port = server.address().port;
    engine.running = true;
    born = Date.now();
    sequence = 0;
    beat();
    timer = setInterval(beat, heartbeatMs);
  };

  /**
   * Ends at once: connections are reset and heartbeats stop.
   * @returns false if it had ended before
   */
  engine.crash = () => {
    if (!engine.running) return false;
    engine.running = false;
    clearInterval(timer);
    server.close();
    for (const socket of sockets) socket.resetAndDestroy();
    return true;
  };

  /** Takes its entry away without an announcement, and goes on serving. */
  engine.leaveSilently = () => {
    clearInterval(timer);
    store.leave(id);
  };

  engine.close = () => {
    clearInterval(timer);
    server.close();
    server.closeAllConnections();
  };

  await engine.start();
  return engine;
}

function pause(ms) {
  return new Promise(resolve => setTimeout(resolve, ms));
}
