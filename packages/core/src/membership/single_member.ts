import type {AliveMembers} from './alive_members.js';

/** Membership of a router without peers. */
export function createSingleMember(
  self: string,
  incarnation: number,
): AliveMembers {
  return {
    self,
    alive: () => [self],
    incarnation: address => (address === self ? incarnation : undefined),
  };
}
