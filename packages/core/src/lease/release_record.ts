/** Ends the lease early; its holder sends no orders afterwards. */
export interface ReleaseRecord {
  type: 'release';
  id: string;
  holder: string;
  base: number;
  token: number;
}
