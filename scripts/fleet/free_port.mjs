import {createSocket} from 'node:dgram';
import {createServer} from 'node:net';

// Below the range from which systems take ports for connections and for
// listeners on port 0, so that no other process comes to hold one by chance.
const FIRST_PORT = 20_000;
const PORTS = 10_000;
const MAX_TRIES = 50;

function bindsTcp(ip, port) {
  const server = createServer();
  return new Promise(resolve => {
    server.once('error', () => resolve(false));
    server.listen(port, ip, () => server.close(() => resolve(true)));
  });
}

function bindsUdp(ip, port) {
  const socket = createSocket('udp4');
  return new Promise(resolve => {
    socket.once('error', () => socket.close(() => resolve(false)));
    socket.bind(port, ip, () => socket.close(() => resolve(true)));
  });
}

/** Whether a port is free on all addresses, over TCP and over UDP. */
export async function isFree(ips, port) {
  for (const ip of ips) {
    if (!(await bindsTcp(ip, port)) || !(await bindsUdp(ip, port))) {
      return false;
    }
  }
  return true;
}

/** A port that is free on all addresses, over TCP and over UDP. */
export async function freePort(ips) {
  for (let i = 0; i < MAX_TRIES; i++) {
    const port = FIRST_PORT + Math.floor(Math.random() * PORTS);
    if (await isFree(ips, port)) return port;
  }
  throw new Error(`no port is free on ${ips.join(', ')}`);
}
