// Stand-in of a client: one attempt on a connection of its own.
import {request} from 'node:http';
import process from 'node:process';
import {clearTimeout, setTimeout} from 'node:timers';

let lastId = 0;

/** A new id for a client attempt. */
export function nextAttemptId() {
  lastId += 1;
  return `a${process.pid.toString(16)}x${lastId}`;
}

/**
 * Sends one attempt and resolves with what its client saw: status, time of
 * the first event, ids of the events and whether the answer was complete.
 */
export function sendAttempt(gateway, {path, host, key, deadlineMs, ...rest}) {
  const attemptId = rest.attemptId ?? nextAttemptId();
  const seen = {
    attemptId,
    gateway: gateway.name,
    sentMs: Date.now(),
    status: 0,
    firstMs: undefined,
    events: [],
    complete: false,
    bytes: 0,
    endedMs: 0,
  };
  const headers = {
    host,
    'attempt-id': attemptId,
    'deadline-remaining': `${deadlineMs}`,
    authorization: `Bearer ${key}`,
  };
  if (rest.tokens) {
    headers['model'] = 'm';
    headers['token-usage'] = rest.tokens.join(',');
    headers['prompt-prefix'] = rest.prefix;
  }
  return new Promise(resolve => {
    const finish = () => {
      if (seen.endedMs > 0) return;
      clearTimeout(limit);
      seen.endedMs = Date.now();
      resolve(seen);
    };
    const req = request({
      host: gateway.ip,
      port: gateway.port,
      path,
      method: rest.method ?? 'POST',
      headers,
      agent: false,
    });
    const limit = setTimeout(() => {
      req.destroy();
      finish();
    }, deadlineMs);
    req.on('error', finish);
    req.on('response', res => {
      seen.status = res.statusCode;
      seen.retryAfter = res.headers['retry-after'];
      res.on('data', data => {
        seen.bytes += data.length;
        const ids = [...data.toString('utf8').matchAll(/^id: (\d+)$/gm)];
        if (ids.length > 0) seen.firstMs ??= Date.now();
        seen.events.push(...ids.map(([, id]) => Number(id)));
      });
      res.on('end', () => {
        seen.complete = res.complete;
        finish();
      });
      res.on('error', finish);
      res.on('close', finish);
    });
    req.end(rest.body);
  });
}
