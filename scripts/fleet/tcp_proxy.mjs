import {connect, createServer} from 'node:net';

/**
 * Starts a TCP proxy to `target` (`IP:PORT`) on a free loopback port. A cut
 * proxy destroys its connections and accepts none; `delayMs` delays each chunk
 * in both directions, and a silent direction drops its chunks.
 */
export async function startTcpProxy(target) {
  const colon = target.lastIndexOf(':');
  const host = target.slice(0, colon);
  const port = Number(target.slice(colon + 1));
  const sockets = new Set();
  let cut = false;
  let delayMs = 0;
  let silent = 'none';

  const server = createServer(downstream => {
    if (cut) return downstream.destroy();
    const upstream = connect(port, host);
    for (const socket of [downstream, upstream]) {
      sockets.add(socket);
      socket.setNoDelay(true);
      socket.on('error', () => socket.destroy());
      socket.on('close', () => sockets.delete(socket));
    }
    forward(downstream, upstream, 'out');
    forward(upstream, downstream, 'back');
  });

  function forward(from, to, direction) {
    from.on('data', chunk => {
      if (silent === direction || silent === 'both') return;
      runDelayed(() => to.writable && to.write(chunk));
    });
    from.on('close', () => runDelayed(() => to.destroy()));
    from.on('end', () => runDelayed(() => to.end()));
  }

  function runDelayed(action) {
    if (delayMs > 0) setTimeout(action, delayMs);
    else action();
  }

  await new Promise(resolve => server.listen(0, '127.0.0.1', resolve));
  return {
    address: `127.0.0.1:${server.address().port}`,
    setCut: value => {
      cut = value;
      if (cut) for (const socket of sockets) socket.destroy();
    },
    /** @param value `none`, `out` (to the target), `back` or `both` */
    setSilent: value => {
      silent = value;
    },
    /** Resets all connections; new ones are accepted. */
    reset: () => {
      for (const socket of sockets) {
        if (socket.writableEnded) socket.destroy();
        else socket.resetAndDestroy();
      }
    },
    setDelay: ms => {
      delayMs = ms;
    },
    close: () => {
      for (const socket of sockets) socket.destroy();
      server.close();
    },
  };
}
