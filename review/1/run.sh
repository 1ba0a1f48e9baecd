#!/bin/bash
exec "$(dirname "$0")/../stand/run" 1 BadPeers
