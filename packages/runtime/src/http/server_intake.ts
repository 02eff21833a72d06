import type {Server} from 'node:http';

/** Bounds what the clients of a server may take of its process. */
export interface ServerIntake {
  /** Bounds the connections of a server that has none yet. */
  bound(server: Server): void;
}
