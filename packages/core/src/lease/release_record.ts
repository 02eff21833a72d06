/** Ends the lease early; its holder sends no order after this. */
export interface ReleaseRecord {
  type: 'release';
  id: string;
  holder: string;
  base: number;
  token: number;
}
