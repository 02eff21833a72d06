import type {AliveMembers} from '../membership/alive_members.js';
import {rendezvousOrder} from '../shared/rendezvous.js';
import {partitionOf, partitionStream} from './claim_key.js';

/**
 * Recorder of a key's partition; each unanswered send moves on to the member
 * with the next lower rendezvous weight.
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
