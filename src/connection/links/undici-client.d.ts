declare module 'undici/lib/dispatcher/client.js' {
	export {Client as default} from 'undici';
}
