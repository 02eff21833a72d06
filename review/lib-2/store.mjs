/* global Buffer, URL */
// A stand-in for the platform's metadata store: keyed topics, partition 0.
import {createServer} from 'node:http';

const RETENTION = 100_000;

function encodeKeyed(key, value) {
  const name = Buffer.from(key);
  return Buffer.concat([Buffer.from([name.length]), name, Buffer.from(value)]);
}

function lengthOf(content) {
  const length = Buffer.alloc(4);
  length.writeUInt32BE(content.length);
  return length;
}

/** Starts an empty store on loopback. */
export async function startStore(ip) {
  const topics = new Map();

  function topicOf(name) {
    if (!topics.has(name)) topics.set(name, {records: [], newest: new Map()});
    return topics.get(name);
  }

  function append(name, content) {
    const topic = topicOf(name);
    const offset = topic.records.length;
    topic.records.push(content);
    if (!name.startsWith('keyed.')) return offset;
    const keyEnd = 1 + content[0];
    const key = content.toString('utf8', 1, keyEnd);
    const value = content.subarray(keyEnd);
    if (value.length === 0) topic.newest.delete(key);
    else topic.newest.set(key, {key, value: value.toString('base64'), offset});
    return offset;
  }

  function appendAll(name, body) {
    const first = topicOf(name).records.length;
    for (let at = 0; at < body.length;) {
      const from = at + 4;
      at = from + body.readUInt32BE(at);
      append(name, body.subarray(from, at));
    }
    return {offset: first, endOffset: topicOf(name).records.length};
  }

  function readFrom(name, from) {
    const {records} = topicOf(name);
    const head = Buffer.alloc(16);
    head.writeBigUInt64BE(BigInt(records.length), 0);
    const found = records.slice(from, from + RETENTION);
    return Buffer.concat([head, ...found.flatMap(r => [lengthOf(r), r])]);
  }

  const server = createServer((req, res) => {
    const parts = [];
    req.on('data', part => parts.push(part));
    req.on('end', () => {
      const url = new URL(req.url, 'http://store');
      const name = url.searchParams.get('topic') ?? '';
      const json = (status, value) => {
        res.writeHead(status, {'content-type': 'application/json'});
        res.end(JSON.stringify(value));
      };
      switch (url.pathname) {
        case '/log-append':
          return json(200, appendAll(name, Buffer.concat(parts)));
        case '/log-newest': {
          const {records, newest} = topicOf(name);
          const items = [...newest.values()];
          return json(200, {items, hasMore: false, endOffset: records.length});
        }
        case '/log-read': {
          const from = Number(url.searchParams.get('from'));
          if (from > topicOf(name).records.length) {
            return json(410, {firstOffset: 0});
          }
          return res.end(readFrom(name, from));
        }
        default:
          return json(404, {});
      }
    });
  });
  server.keepAliveTimeout = 60_000;
  await new Promise(resolve => server.listen(0, ip, resolve));
  return {
    address: `${ip}:${server.address().port}`,
    put: (topic, key, value) =>
      append(topic, encodeKeyed(key, value && JSON.stringify(value))),
    close: () => {
      server.close();
      server.closeAllConnections();
    },
  };
}
