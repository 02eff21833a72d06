// Stand-in of the platform's metadata store: keyed topics of one partition.
import {Buffer} from 'node:buffer';
import {createServer} from 'node:http';
import {clearInterval, setInterval} from 'node:timers';
import {URL} from 'node:url';

const SERVERS = 'keyed.servers';
const OPERATOR = 'keyed.op';
/** An entry is removed after three heartbeat intervals of silence. */
const MISSED_HEARTBEATS = 3;
const LAPSE_CHECK_MS = 50;

/** Starts a store that answers on `ip`. */
export async function startStore(ip, heartbeatMs) {
  const topics = new Map();
  /** Time of the last heartbeat, by id of the server. */
  const heartbeats = new Map();
  let down = false;

  function topic(name) {
    let found = topics.get(name);
    if (!found) {
      found = {records: [], newest: new Map()};
      topics.set(name, found);
    }
    return found;
  }

  function append(name, content) {
    const {records, newest} = topic(name);
    const offset = records.push(content) - 1;
    const keyLength = content[0];
    const key = content.toString('utf8', 1, 1 + keyLength);
    const value = content.subarray(1 + keyLength);
    if (value.length === 0) newest.delete(key);
    else newest.set(key, {value, offset});
    return offset;
  }

  function put(name, key, text) {
    const keyBytes = Buffer.from(key);
    const content = [Buffer.from([keyBytes.length]), keyBytes];
    return append(name, Buffer.concat([...content, Buffer.from(text)]));
  }

  /** Records a server's entry; false while the store is down. */
  function heartbeat(id, entry) {
    if (down) return false;
    heartbeats.set(id, Date.now());
    put(SERVERS, id, JSON.stringify(entry));
    return true;
  }

  /** Removes the entry of a server that has left. */
  function leave(id) {
    if (!heartbeats.delete(id)) return;
    put(SERVERS, id, '');
  }

  function removeSilent() {
    if (down) return;
    for (const [id, atMs] of heartbeats) {
      if (Date.now() - atMs >= MISSED_HEARTBEATS * heartbeatMs) leave(id);
    }
  }

  async function answer(req, res) {
    const parts = [];
    for await (const part of req) parts.push(part);
    // A call during the outage never gets an answer, also not after its end.
    if (down) return;
    const url = new URL(req.url, 'http://store');
    const name = url.searchParams.get('topic') ?? '';
    switch (url.pathname) {
      case '/log-append': {
        const body = Buffer.concat(parts);
        const first = topic(name).records.length;
        for (let at = 0; at < body.length;) {
          const end = at + 4 + body.readUInt32BE(at);
          append(name, body.subarray(at + 4, end));
          at = end;
        }
        const endOffset = topic(name).records.length;
        return send(res, JSON.stringify({offset: first, endOffset}));
      }
      case '/log-read': {
        const {records} = topic(name);
        const head = Buffer.alloc(16);
        head.writeBigUInt64BE(BigInt(records.length), 0);
        const from = Number(url.searchParams.get('from'));
        const content = records.slice(from).flatMap(record => {
          const length = Buffer.alloc(4);
          length.writeUInt32BE(record.length);
          return [length, record];
        });
        return send(res, Buffer.concat([head, ...content]));
      }
      case '/log-newest': {
        const {records, newest} = topic(name);
        const items = [...newest].map(([key, {value, offset}]) => ({
          key,
          value: value.toString('base64'),
          offset,
        }));
        const endOffset = records.length;
        return send(res, JSON.stringify({items, hasMore: false, endOffset}));
      }
      default:
        res.writeHead(404).end();
    }
  }

  const server = createServer((req, res) => {
    answer(req, res).catch(() => res.destroy());
  });
  await new Promise(resolve => server.listen(0, ip, resolve));
  const timer = setInterval(removeSilent, LAPSE_CHECK_MS);

  return {
    address: `${ip}:${server.address().port}`,
    heartbeat,
    leave,
    configure: configuration =>
      put(OPERATOR, 'config', JSON.stringify(configuration)),
    /** Leaves each call without an answer from now on. */
    stop: () => {
      down = true;
    },
    /** Answers again; silence is counted from now on. */
    resume: () => {
      down = false;
      for (const id of heartbeats.keys()) heartbeats.set(id, Date.now());
    },
    close: () => {
      clearInterval(timer);
      server.closeAllConnections();
      server.close();
    },
  };
}

function send(res, body) {
  res.writeHead(200, {'content-length': Buffer.byteLength(body)});
  res.end(body);
}
