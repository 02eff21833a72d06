import type {ProbeEndpoint} from '@wisterialadder/core/gateway/actions/probe_endpoint.js';
import type {EndpointProbed} from '@wisterialadder/core/gateway/events/endpoint_probed.js';
import {openSocket} from './endpoint_connection.js';

/** Opens a connection to an endpoint, closes it and reports the result. */
export function probeEndpoint(
  {endpoint, address}: ProbeEndpoint,
  push: (event: EndpointProbed) => void,
): void {
  const {hostname, port} = new URL(`http://${address}`);
  openSocket(hostname, Number(port || 80), (_err, socket) => {
    // A reset after the connection was made is no failure of the probe.
    socket?.on('error', () => undefined);
    socket?.destroy();
    push({kind: 'endpoint_probed', endpoint, reachable: socket !== undefined});
  });
}
