import type {CallerCodec} from './callers/caller_codec.js';
import type {EndpointCodec} from './endpoints/endpoint_codec.js';
import type {MemoryClient} from './memory/memory_client.js';
import type {StoreClient} from './store/store_client.js';

/** Protocols and clients of the platform on which a gateway runs. */
export interface GatewayPorts {
  callers: CallerCodec;
  endpoints: EndpointCodec;
  memory: MemoryClient;
  store: StoreClient;
  /** Path of the readiness probe. */
  readinessPath: string;
}
