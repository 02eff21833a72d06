/** A fault of one key, without the file's name. */
export interface SettingsFault {
  section: string;
  key: string;
  problem: string;
  allowed: string;
}
