import type {RemoteReservation} from '../sessions/remote_reservation.js';

/** Releases reservations on other engines. */
export interface ReleaseRemote {
  kind: 'release_remote';
  reservations: RemoteReservation[];
}
