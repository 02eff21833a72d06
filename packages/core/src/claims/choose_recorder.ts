import type {AliveMembers} from '../membership/alive_members.js';
import {rendezvousOrder} from '../shared/rendezvous.js';
import {partitionOf, partitionStream} from './claim_key.js';

/**
 * Returns the recorder of a key's partition. Each unanswered send moves on to
 * the member with the next lower rendezvous weight.
 */
export function chooseRecorder(
  members: AliveMembers,
  key: string,
  sends: number,
): string {
  const stream = partitionStream(partitionOf(key));
  const order = rendezvousOrder(stream, members.alive());
  return order[sends % order.length] ?? members.self;
}
