/** A fault of one key, without the file it stands in. */
export interface SettingsFault {
  section: string;
  key: string;
  problem: string;
  allowed: string;
}
