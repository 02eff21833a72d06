import {connect, createServer} from 'node:net';

/**
 * Starts a TCP relay to `target` (`IP:PORT`) on a free loopback port. A cut
 * relay destroys its connections and accepts none; `delayMs` holds back each
 * chunk in both directions.
 */
export async function startRelay(target) {
  const colon = target.lastIndexOf(':');
  const host = target.slice(0, colon);
  const port = Number(target.slice(colon + 1));
  const sockets = new Set();
  let cut = false;
  let delayMs = 0;

  const server = createServer(near => {
    if (cut) return near.destroy();
    const far = connect(port, host);
    for (const socket of [near, far]) {
      sockets.add(socket);
      socket.setNoDelay(true);
      socket.on('error', () => socket.destroy());
      socket.on('close', () => sockets.delete(socket));
    }
    forward(near, far);
    forward(far, near);
  });

  function forward(from, to) {
    from.on('data', chunk => later(() => to.writable && to.write(chunk)));
    from.on('close', () => later(() => to.destroy()));
    from.on('end', () => later(() => to.end()));
  }

  function later(action) {
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
    setDelay: ms => {
      delayMs = ms;
    },
    close: () => {
      for (const socket of sockets) socket.destroy();
      server.close();
    },
  };
}
