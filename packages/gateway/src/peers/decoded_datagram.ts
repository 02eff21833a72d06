import type {DatagramMessage} from './datagram_message.js';

/** Content of a datagram and the fleet and incarnation of its sender. */
export interface DecodedDatagram {
  fleet: number;
  incarnation: number;
  message: DatagramMessage;
}
