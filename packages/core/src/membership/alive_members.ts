/** View of the membership for other features. */
export interface AliveMembers {
  /** Own peer address, `IP:PORT`. */
  readonly self: string;
  /** Addresses of members believed alive, the own one included. */
  alive(): string[];
  /** Newest incarnation known of a member, dead ones included. */
  incarnation(address: string): number | undefined;
}
