#!/bin/bash
exec "$(dirname "$0")/../stand/run" 3 Unwritten
